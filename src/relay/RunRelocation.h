// Moves a running request's memory to another engine while the run goes on, and then the run itself.
//
// Two steps: a first copy without stopping the run, which takes the time, and a second one that stops the run and
// copies only what has been added since. So the caller waits for the short step alone, and a target without room is
// found out before anything is stopped.
// Used on the relay's thread only. Owned by the stream; no callback follows once it is gone.
#pragma once

#include "lupinknot/EnumNames.h"
#include "relay/CallProtocol.h"
#include <functional>
#include <memory>

namespace lupinknot::internal {

class HttpRoundTrip;
struct HttpRoundTripResult;
class RelayEndpoint;
struct RelayContext;

enum class RelocationResult {
    Refused, // The run goes on where it is.
    Moved, // The run has stopped; its memory is at the target.
    Stopped, // The run has stopped; its memory is at the source.
    Unknown, // The run may have stopped.
};

inline constexpr std::array<EnumName<RelocationResult>, 4> relocationResultNames { {
    { RelocationResult::Refused, "refused" },
    { RelocationResult::Moved, "moved" },
    { RelocationResult::Stopped, "stopped" },
    { RelocationResult::Unknown, "unknown" },
} };

class RunRelocation : public std::enable_shared_from_this<RunRelocation> {
public:
    // The handle names the memory for the run that continues; empty unless it moved or stopped.
    using Callback = std::function<void(RelocationResult, const std::string& handle)>;

    static std::shared_ptr<RunRelocation> start(RelayContext&, std::shared_ptr<RelayEndpoint> source,
        std::shared_ptr<RelayEndpoint> target, std::string requestId, Callback);

    const std::shared_ptr<RelayEndpoint>& source() const { return m_source; }
    const std::shared_ptr<RelayEndpoint>& target() const { return m_target; }
    // True once the run may have been told to stop: its stream then ends without its last event.
    bool isStopping() const { return m_isStopping; }

private:
    RunRelocation(RelayContext&, std::shared_ptr<RelayEndpoint> source, std::shared_ptr<RelayEndpoint> target,
        std::string requestId, Callback);
    void ask();
    void answered(const HttpRoundTripResult&);
    void settle(RelocationResult, const std::string& handle);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_source;
    const std::shared_ptr<RelayEndpoint> m_target;
    const std::string m_requestId;
    Callback m_callback;
    std::shared_ptr<HttpRoundTrip> m_question;
    bool m_isStopping { false };
};

} // namespace lupinknot::internal
