// The runs of one stream that this VM has ended, or knows of from another VM, and whose engines may still work on them.
//
//     EndedRuns runs(context, service, requestId);
//     runs.add({ engine, requestId });     // The connection was closed, or has broken.
//     runs.stopAllBut({ next }, copyName);     // The stream goes on at next.
//     if (runs.mayContinue(now)) ...     // The stream may continue from a copy.
//     runs.freeMemory();     // The stream does not return to its ended runs.
//
// A run is stopped when the stream goes on at another engine, because until then its KV cache may be of use. A request
// to stop it names only the request, so that a new run of the same request at the engine would be stopped as well: no
// run is sent there while that may happen. Used on the relay's thread only. Owned by the stream.
#pragma once

#include "copies/ContinuationGate.h"
#include "lupinknot/Clock.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class RelayEndpoint;
class RunStop;
struct RelayContext;
struct RunMemorySource;
struct RunTarget;

// A run that a VM has ended, and its engine, which may still work on it.
struct EndedRun {
    std::shared_ptr<RelayEndpoint> engine;
    // Names the run: the id of the caller's attempt.
    std::string requestId;
    EngineContact contact { EngineContact::Answers };
};

class EndedRuns {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;

    // The request of the stream. The context must outlive the runs.
    EndedRuns(RelayContext&, const std::string& service, std::string requestId);
    ~EndedRuns();
    EndedRuns(const EndedRuns&) = delete;
    EndedRuns& operator=(const EndedRuns&) = delete;

    void add(EndedRun run) { m_runs.push_back(std::move(run)); }
    // Stops all runs at other engines than those at which the stream has open runs. Their KV caches are not needed, but
    // the one that the stream continues from; its name may be empty.
    void stopAllBut(const Engines& inUse, const std::string& handleInUse);
    // True if a new run of the stream's request at the engine may be stopped by a request that is under way.
    bool mayStopNewRunAt(const RelayEndpoint& engine) const;
    // True if no engine has to be waited for before the stream continues from a copy.
    bool mayContinue(Milliseconds now) const;
    // The KV cache of the stream's request that an engine has kept when it stopped the run; the last one, if any, whose
    // engine takes work and is not being told to stop.
    std::optional<RunTarget> stoppedRun() const;
    // A run was sent that continues from this KV cache, which its engine frees.
    void noteContinued(const RunMemorySource&);
    // Frees the KV caches that engines keep of the stopped runs.
    void freeMemory();
    // The stream returns to its run at the engine: stops asking the engine to stop it, and frees the other KV caches.
    void returnTo(const RelayEndpoint& engine);
    // True if the engine was asked to stop a run of the stream's request and may have done so.
    bool mayHaveStopped(const RelayEndpoint& engine) const;
    // True if the engine has answered a request to stop a run of the stream's request.
    bool hasAnsweredStop(const RelayEndpoint& engine) const;
    Engines enginesBeingStopped() const;
    // Number of requests to stop a run of the stream's request that may still be answered.
    std::size_t openStops() const;

private:
    bool canStopRuns() const;
    bool isBeingStopped(const RunStop&) const;
    bool concerns(const RunStop&, const RelayEndpoint& engine) const;
    // An engine to which the engine of a run may copy its KV cache when it stops the run: preferably one at which the
    // stream has no run, because the copy needs room there, and one of the same zone. Null if there is no other engine.
    std::shared_ptr<RelayEndpoint> chooseTarget(const RelayEndpoint& engine, const Engines& inUse) const;

    RelayContext& m_context;
    const std::string m_service;
    const std::string m_requestId;
    std::vector<EndedRun> m_runs;
    std::vector<std::shared_ptr<RunStop>> m_stops;
};

} // namespace lupinknot::internal
