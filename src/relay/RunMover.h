// Relocates a stream's run preemptively, to an engine where it gets a live copy (a KV-cache copy on another engine that
// is updated while the run continues).
//
//     RunMover mover(context, request, versions, [this](const RunMove& move) { ... });
//     mover.consider(run, { hasAttemptLeft, expectedTimeLeft }, failedEngines);   // Called periodically.
//
// A retry is taken from the budget when a move begins, because a run that has been stopped must be continued. The user
// of the mover returns the retry when the run was not stopped.
// Used on the relay's thread only. Owned by the stream's call; no callback follows its destruction.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lupinknot::internal {

class RelayEndpoint;
class RequestVersions;
class RunRelocation;
struct RelayContext;
struct RelayRequest;
struct StreamRun;
enum class RelocationResult;

// Outcome of a move.
struct RunMove {
    RelocationResult result;
    std::shared_ptr<RelayEndpoint> source;
    std::shared_ptr<RelayEndpoint> target;
    // Identifies the KV cache for the run that continues; empty unless the result is Moved or Stopped.
    std::string handle;
};

// What remains of a stream.
struct StreamOutlook {
    // True when the request may make another attempt after the move.
    bool hasAttemptLeft { false };
    // Expected time until the stream ends.
    Milliseconds expectedTimeLeft { 0 };
};

class RunMover {
public:
    using Callback = std::function<void(const RunMove&)>;
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;

    // The context, the request and the request's versions must outlive the mover.
    RunMover(RelayContext&, const RelayRequest&, RequestVersions&, Callback);
    ~RunMover();
    RunMover(const RunMover&) = delete;
    RunMover& operator=(const RunMover&) = delete;

    // Begins to move the run if it lacks a copy and the move pays off (RelaySettings::minTimeLeftForRelocation).
    void consider(const StreamRun&, const StreamOutlook&, Engines failed);
    // True once the engine may have received the request to stop the run: its stream then ends without its last event.
    bool isStopping() const;
    // The stream of the run that is being stopped has ended.
    void noteStreamEnded();
    // Cancels a move in progress and returns its retry to the budget.
    void cancel();

private:
    // True when the run would have to start over if its engine failed now.
    bool lacksCopy(const StreamRun&, Milliseconds now) const;
    bool mayMove(const StreamRun&, const StreamOutlook&, Milliseconds now);
    void move(const StreamRun&, Engines excluded, Milliseconds now);

    RelayContext& m_context;
    const RelayRequest& m_request;
    RequestVersions& m_versions;
    const Callback m_callback;
    std::shared_ptr<RunRelocation> m_relocation;
    // Earliest time of the next move. 0 until a first delay is set, which spreads the moves of many streams.
    Milliseconds m_nextMoveAt { 0 };
};

} // namespace lupinknot::internal
