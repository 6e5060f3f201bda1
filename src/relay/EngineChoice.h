// Chooses the engine for the next run of a stream.
//
// An engine that holds a copy of the lost run's KV cache comes first, then, for a caller who reconnects, the engine
// that has the prompt cached, then the least loaded of a few engines that are probed.
//
//     const auto choice = EngineChoice::make(context, request, versions);
//     if (const auto target = choice->copyTarget()) ...
//     choice->choose([this](const std::shared_ptr<RelayEndpoint>& engine) { ... });       // Null when there is none.
//
// Used on the relay's thread only. Owned by the stream's call; no callback is called after its destruction.
#pragma once

#include "endpoint/EndpointAvailability.h"
#include "relay/CallProtocol.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class EndedRuns;
class EngineLoadProbe;
class RelayEndpoint;
class RequestVersions;
class RunLocations;
struct PlacementRequest;
struct RelayContext;
struct RelayRequest;
struct RunLocation;
struct StreamRun;

// A copy of a run's KV cache and the engine that holds it.
struct RunTarget {
    std::shared_ptr<RelayEndpoint> engine;
    RunMemorySource copy;
    // When the copy was requested or last confirmed; a later failure of the engine's zone destroys it.
    Milliseconds since { 0 };
};

class EngineChoice : public std::enable_shared_from_this<EngineChoice> {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;
    using Callback = std::function<void(const std::shared_ptr<RelayEndpoint>&)>;

    // The context, the request, its versions and its ended runs must outlive this object.
    static std::shared_ptr<EngineChoice> make(RelayContext&, const RelayRequest&, RequestVersions&, const EndedRuns&);
    ~EngineChoice();

    // Sets where the run was that the caller resumes.
    void setEarlierRun(const RunLocation&);
    // Publishes the location of a run that is sent to other VMs, with the version that begins the stream if that is
    // certain.
    void noteLocation(const StreamRun&);
    // The run has begun the stream: publishes its version unless the last note states it.
    void noteVersion(const StreamRun&);
    void forgetLocation() const;

    // The first copy whose engine is healthy and has not lost it.
    std::optional<RunTarget> copyTarget() const;
    // The copies of the lost run, in the order in which to try them.
    void setCopies(std::vector<RunTarget>);
    // A run was sent: the copy that it continues from is not tried again until a run has produced an event. The other
    // copies stay until a run has produced its first event, unless the run starts over.
    void noteSent(const std::optional<RunMemorySource>& copy);
    void noteEvents() { m_triedCopies.clear(); }
    // The engine that ran the request for another VM and has its prompt cached; null if it is not healthy. Returned
    // only once.
    std::shared_ptr<RelayEndpoint> takeEarlierEngine();
    // The engines that may take the place of a silent one, best first: those that have not failed this request, or else
    // any other. They need not be alive.
    Engines substitutes(const std::shared_ptr<RelayEndpoint>& silent, std::size_t count) const;
    // Calls back once, possibly before it returns.
    void choose(const Callback&);
    void cancel();
    // Expected time until the first event at the engine chosen last; empty if its load is unknown.
    std::optional<Milliseconds> firstEventForecast() const { return m_firstEventForecast; }

    // Engines that failed this request; chosen only when no other is left.
    const Engines& failed() const { return m_failed; }
    void noteFailed(std::shared_ptr<RelayEndpoint> engine) { m_failed.push_back(std::move(engine)); }

    // The engine that should receive a copy of a run at the given engine; null for none.
    std::shared_ptr<RelayEndpoint> chooseCopyHolder(const RelayEndpoint& engine) const;
    // How long the stream can wait for a permit at a rate-limited engine.
    Milliseconds permitTimeoutFor(bool isFromCopy) const;
    // When the first engine accepts a request again if all are rate-limited or in back-off; empty otherwise.
    std::optional<EndpointAvailability> nextAvailability() const;

private:
    EngineChoice(RelayContext&, const RelayRequest&, RequestVersions&, const EndedRuns&);
    // Null where VMs do not share run locations.
    RunLocations* runLocations() const;
    // True unless the engine is shutting down, avoided, in back-off, without permits, suspected, in a failing zone or
    // about to stop runs of this request.
    bool isHealthy(const RelayEndpoint&) const;
    // The placement for a run that has to prefill the prompt.
    PlacementRequest placementRequest() const;
    // Probes the load of the candidate engines; returns false if there is no choice to make.
    bool probeLoad(const Callback&);
    // The engines at which the stream can be in time; all where there is none, and without a named rank.
    Engines enginesInTime(const Engines& answered) const;
    std::optional<Milliseconds> firstEventForecastAt(const RelayEndpoint&) const;
    // Records when the first of the engines is expected to have room.
    void noteRoom(const Engines& answered) const;
    void onLoadProbed(const Engines& answered, const Callback&);
    // The pace is relative to that of the service.
    void logChoice(const RelayEndpoint&, std::size_t answered, double relativePace, Milliseconds forecast) const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    RequestVersions& m_versions;
    const EndedRuns& m_endedRuns;
    Engines m_failed;
    std::shared_ptr<RelayEndpoint> m_earlierEngine;
    std::vector<RunTarget> m_copies;
    std::vector<RunMemorySource> m_triedCopies;
    // The version in the last note of the run.
    std::optional<std::string> m_notedVersion;
    std::optional<Milliseconds> m_firstEventForecast;
    // Set while engines are probed for the next run.
    std::shared_ptr<EngineLoadProbe> m_loadProbe;
};

} // namespace lupinknot::internal
