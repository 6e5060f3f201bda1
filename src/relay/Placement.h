// Chooses the endpoint of a new attempt.
//
// The cost of an endpoint is the number of calls that this VM has in flight there, plus a surcharge for another
// availability zone, one for a zone that is expected to fail next (ZoneRisk), and a much larger one if the endpoint is
// avoided or shutting down. The cheapest endpoint is chosen; ties are broken at random, so that VMs, which do not know
// each other's choices, spread over equal endpoints.
//
// Of a service with very many endpoints only a random sample is examined, most of it in this VM's zone, so that a
// choice costs the same at hundreds and at ten thousands of endpoints. All endpoints are examined when the sample lacks
// good ones, because a whole zone may have failed.
//
// The engines that are probed for their load come from several zones, because demand differs between zones. An engine
// that is known to be slow is chosen less often, in proportion to its pace.
//
// Requests with the same prompt prefer the same endpoint, found by rendezvous hashing: a caller who reconnects through
// another VM reaches the engine that has the prompt cached.
#pragma once

#include "endpoint/EndpointAvailability.h"
#include "lupinknot/Clock.h"
#include "placement/ZoneRisk.h"
#include "relay/EngineForecast.h"
#include "rollout/VersionChoice.h"
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot::internal {

class EndpointDirectory;
class EnginePaces;
class RelayEndpoint;
struct RelaySettings;

// How rate-limited endpoints are treated.
enum class LimitedEndpoints {
    Admitted, // Used with a surcharge; those without an available permit are left out.
    Excluded, // Left out, for requests that are optional.
    Unrestricted, // Used like any other endpoint: nothing is sent there.
};

struct PlacementRequest {
    std::string service;
    // Endpoints that this request has tried or is using.
    std::vector<std::shared_ptr<RelayEndpoint>> excluded;
    // Zones whose failure would hit the request again; endpoints there come last.
    std::vector<std::string> zonesToAvoid;
    // Identifies the prompt; requests with the same id prefer the same endpoint of a zone, on every VM.
    std::string promptId;
    // How many more calls than others the preferred endpoint may have in flight.
    double preference { 0 };
    // The versions of endpoints that may be chosen.
    VersionChoice version;
    // True for the target of a copy: an endpoint that is avoided or shutting down is not suitable.
    bool mustBeHealthy { false };
    LimitedEndpoints limited { LimitedEndpoints::Admitted };
    // How long the request would be exposed to a failure of the endpoint's zone.
    RunTimes times {};
    // True for the target of a copy, which is to survive the failure of other zones: the zone's risk comes before load.
    bool prefersSafestZone { false };
};

// Used on the relay's thread only.
class Placement {
public:
    Placement(const EndpointDirectory&, const RelaySettings&, std::uint64_t seed);
    // Sets the paces of engines; without them all have the pace of their service. They must outlive this object.
    void setPaces(const EnginePaces* paces) { m_paces = paces; }
    // Time for work at the endpoint as a multiple of its service's: by its own recent statement or else by its runs.
    double paceOf(const RelayEndpoint&, Milliseconds now) const;

    // Null when no endpoint can take the request.
    std::shared_ptr<RelayEndpoint> choose(const PlacementRequest&, Milliseconds now);
    // The best endpoints for the request, best first: up to the given count.
    std::vector<std::shared_ptr<RelayEndpoint>> candidates(
        const PlacementRequest&, std::size_t count, Milliseconds now);
    // The endpoints whose load is probed: half of them the best of this VM's zone, the others the best ones of other
    // zones. A zone with few healthy endpoints is probed less often, so that the VMs do not all choose the same ones.
    // Where a zone lacks endpoints, the best ones of any zone take their place.
    std::vector<std::shared_ptr<RelayEndpoint>> candidatesOfZones(
        const PlacementRequest&, std::size_t count, Milliseconds now);
    // When the first endpoint accepts a request again if all candidates are in back-off or rate-limited; empty when an
    // endpoint is neither, or when there is no candidate.
    std::optional<EndpointAvailability> nextAvailability(const PlacementRequest&, Milliseconds now) const;
    // The best of some engines that have reported their load, by forecast; null when none accepts work any more.
    std::shared_ptr<RelayEndpoint> chooseReported(
        const std::vector<std::shared_ptr<RelayEndpoint>>&, const EngineWork&, const EnginePace&, Milliseconds now);

    // The number of eligible endpoints whose cost the last choice has computed.
    std::size_t lastExamined() const { return m_examined; }

private:
    struct Candidate {
        // In calls in flight.
        double cost;
        std::shared_ptr<RelayEndpoint> endpoint;
    };

    // Adds the eligible endpoints among `count` of the list, beginning at a random one. Leaves out those of a zone.
    void addSample(const std::vector<std::shared_ptr<RelayEndpoint>>&, std::size_t count, std::string_view zoneToSkip,
        const PlacementRequest&, Milliseconds now, std::vector<Candidate>&);
    static bool contains(const std::vector<Candidate>&, const std::shared_ptr<RelayEndpoint>&);
    void add(const std::shared_ptr<RelayEndpoint>&, const PlacementRequest&, Milliseconds now, std::vector<Candidate>&);
    // The eligible endpoints of the service, or of a sample of it.
    std::vector<Candidate> collect(const PlacementRequest&, std::size_t count, Milliseconds now);
    static void eraseUnhealthy(std::vector<Candidate>&);
    // The examined candidates of one zone.
    struct ZoneCandidates {
        std::string_view zone;
        std::size_t examined { 0 };
        std::size_t healthy { 0 };
        // Share of the probes, relative to the other zones.
        double weight { 0 };
        // How many of the probes the zone gets.
        std::size_t probes { 0 };
    };
    std::vector<ZoneCandidates> countByZone(const std::vector<Candidate>&) const;
    // Shares the probes between the zones: half of them to this VM's, while all endpoints are healthy. The share of a
    // zone falls with that of its endpoints that are healthy. Fractions are drawn at random.
    void assignProbes(std::vector<ZoneCandidates>&, const std::string& service, std::size_t count);
    static void applyLimits(std::vector<Candidate>&, LimitedEndpoints, Milliseconds now);
    // Sorts the candidates and moves the best ones of each zone, as many as it has probes, to the front.
    static void spreadOverZones(std::vector<Candidate>&, std::vector<ZoneCandidates>);
    // The cheapest endpoints up to the given count; sorts the candidates that far.
    static std::vector<std::shared_ptr<RelayEndpoint>> cheapest(std::vector<Candidate>&, std::size_t count);
    // The preferred endpoint among the healthy ones of this VM's zone, or null.
    std::shared_ptr<RelayEndpoint> preferred(const PlacementRequest&, Milliseconds now) const;
    // True unless the request excludes the endpoint, regardless of the endpoint's state.
    static bool isCandidate(const RelayEndpoint&, const PlacementRequest&);
    // True when the request may be sent to the endpoint, provided that a permit is available.
    bool isEligible(const RelayEndpoint&, const PlacementRequest&, Milliseconds now) const;
    double cost(const RelayEndpoint&, const PlacementRequest&, Milliseconds now);
    // No zone is at risk for a service without zone failures in its history.
    ZoneRisk zoneRisk(const std::string& service, Milliseconds now) const;
    double random() { return m_uniform(m_random); }

    const EndpointDirectory& m_directory;
    const RelaySettings& m_settings;
    const EnginePaces* m_paces { nullptr };
    std::size_t m_examined { 0 };
    // The risk of the zones of the service for which endpoints are examined.
    ZoneRisk m_zoneRisk;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform { 0.0, 1.0 };
};

} // namespace lupinknot::internal
