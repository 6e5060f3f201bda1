// Moves a stream's run ahead, to an engine where it gets a growing copy, before it needs one.
//
//     RunMover mover(context, request, rollout, [this](const RunMove& move) { ... });
//     mover.consider(run, { hasAttemptLeft, lastEventId, expectedTimeLeft }, failedEngines);   // From time to time.
//
// A retry is taken when a move begins: once the run has been stopped it has to go on. The user gives it back where the
// run was not stopped.
// Used on the relay's thread only. Owned by the stream's call; no callback follows once it is gone.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lupinknot::internal {

class RelayEndpoint;
class RequestRollout;
class RunRelocation;
struct RelayContext;
struct RelayRequest;
struct StreamRun;
enum class RelocationResult;

// How a move has ended.
struct RunMove {
    RelocationResult result;
    std::shared_ptr<RelayEndpoint> source;
    std::shared_ptr<RelayEndpoint> target;
    // Names the memory for the run that continues; empty unless it moved or stopped.
    std::string handle;
};

// What a stream has ahead of it.
struct StreamOutlook {
    // Another attempt may follow the move.
    bool hasAttemptLeft { false };
    // How long the stream will probably go on.
    Milliseconds expectedTimeLeft { 0 };
};

class RunMover {
public:
    using Callback = std::function<void(const RunMove&)>;
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;

    // The context, the request and the rollout part outlive it.
    RunMover(RelayContext&, const RelayRequest&, RequestRollout&, Callback);
    ~RunMover();
    RunMover(const RunMover&) = delete;
    RunMover& operator=(const RunMover&) = delete;

    // Begins to move the run if it lacks a copy and a move is worth it.
    void consider(const StreamRun&, const StreamOutlook&, Engines failed);
    // True once the run may have been told to stop: its stream then ends without its last event.
    bool isStopping() const;
    // Gives a move up that is under way, and its retry back.
    void cancel();

private:
    // True when the run would have to begin anew if its engine failed now.
    bool lacksCopy(const StreamRun&, Milliseconds now) const;
    bool mayMove(const StreamRun&, const StreamOutlook&, Milliseconds now);
    void move(const StreamRun&, Engines excluded, Milliseconds now);

    RelayContext& m_context;
    const RelayRequest& m_request;
    RequestRollout& m_rollout;
    const Callback m_callback;
    std::shared_ptr<RunRelocation> m_relocation;
    // A move that was refused is tried again no earlier.
    Milliseconds m_nextAt { 0 };
};

} // namespace lupinknot::internal
