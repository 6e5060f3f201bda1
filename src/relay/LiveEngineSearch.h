// Finds an engine that is known to be alive now, to take the place of one that is silent.
//
// Load pattern: all engines of a service, or many of them, stand still for a second and go on. An engine that was
// chosen by what was known before the silence is probably as silent as the one that it replaces, and each run that is
// sent to it costs an attempt and a retry.
//
//     m_search = LiveEngineSearch::start(context, candidates, [this](std::optional<std::size_t> found) { ... });
//
// The candidates are in the order of preference. One from which something has arrived within
// RelaySettings::probeTimeout is alive; the others are probed at the same time. Used on the relay's thread only. Owned
// by the stream; no callback follows its destruction.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lupinknot::internal {

class HttpRoundTrip;
struct HttpRoundTripResult;
class RelayEndpoint;
struct RelayContext;

// The state of a candidate.
enum class Liveness {
    Unknown, // Not answered yet.
    Alive,
    Silent,
};

// The first candidate that is alive, once no candidate before it may still answer; empty while that is not decided, or
// if none is alive.
std::optional<std::size_t> firstAlive(const std::vector<Liveness>&);

class LiveEngineSearch : public std::enable_shared_from_this<LiveEngineSearch> {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;
    // The index of the engine, or nothing if no candidate has answered. Called once, after start() has returned.
    using Callback = std::function<void(std::optional<std::size_t>)>;

    static std::shared_ptr<LiveEngineSearch> start(RelayContext&, Engines candidates, Callback);

private:
    LiveEngineSearch(RelayContext&, Engines, Callback);
    void probe(std::size_t index);
    void answered(std::size_t index, const HttpRoundTripResult&);
    void reportIfDecided();

    RelayContext& m_context;
    const Engines m_candidates;
    Callback m_callback;
    std::vector<Liveness> m_states;
    std::vector<std::shared_ptr<HttpRoundTrip>> m_probes;
};

} // namespace lupinknot::internal
