// Moves a run in progress to another engine by copying its KV cache.
//
// Works in two steps: a first copy while the run continues, which takes most of the time, and a second one that stops
// the run and copies only what was added since. The caller waits only for the short second step, and a target without
// free memory is detected before the run is stopped. A source that does not answer the request to stop the run may be
// silent only: the run continues until its stream ends. Used on the relay's thread only. Owned by the stream; no
// callback follows its destruction.
#pragma once

#include "lupinknot/EnumNames.h"
#include "relay/CallProtocol.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class ClientConnection;
class HttpRoundTrip;
struct HttpRoundTripResult;
class RelayEndpoint;
struct RelayContext;

enum class RelocationResult {
    Refused, // The run continues at the source.
    Moved, // The run has stopped; its KV cache is at the target.
    Stopped, // The run has stopped; its KV cache is at the source.
    Unknown, // It is not known whether the run has stopped.
};

inline constexpr std::array<EnumName<RelocationResult>, 4> relocationResultNames { {
    { RelocationResult::Refused, "refused" },
    { RelocationResult::Moved, "moved" },
    { RelocationResult::Stopped, "stopped" },
    { RelocationResult::Unknown, "unknown" },
} };

class RunRelocation : public std::enable_shared_from_this<RunRelocation> {
public:
    // The handle identifies the KV cache for the run that continues; empty unless the result is Moved or Stopped.
    using Callback = std::function<void(RelocationResult, const std::string& handle)>;

    // The deadline is that of the stream.
    static std::shared_ptr<RunRelocation> start(RelayContext&, std::shared_ptr<RelayEndpoint> source,
        std::shared_ptr<RelayEndpoint> target, std::string requestId, Milliseconds deadline, Callback);

    const std::shared_ptr<RelayEndpoint>& source() const { return m_source; }
    const std::shared_ptr<RelayEndpoint>& target() const { return m_target; }
    // True once the source may have received the request to stop the run: its stream then ends without its last event.
    bool isStopping() const { return m_isStopping; }
    // The stream of the run has ended while the run is being stopped. The result is Unknown if the source does not
    // answer soon.
    void noteStreamEnded();

private:
    RunRelocation(RelayContext&, std::shared_ptr<RelayEndpoint> source, std::shared_ptr<RelayEndpoint> target,
        std::string requestId, Milliseconds deadline, Callback);
    void sendRequest();
    void handleAnswer(const HttpRoundTripResult&);
    void finish(RelocationResult, const std::string& handle);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_source;
    const std::shared_ptr<RelayEndpoint> m_target;
    const std::string m_requestId;
    const Milliseconds m_deadline;
    Callback m_callback;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ClientConnection> m_connection;
    std::shared_ptr<HttpRoundTrip> m_pendingRequest;
    bool m_isStopping { false };
    bool m_hasStreamEnded { false };
};

} // namespace lupinknot::internal
