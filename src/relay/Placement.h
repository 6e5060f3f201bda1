// Chooses the endpoint of a new attempt.
//
// An endpoint's cost is what this VM has under way there, more when it lies in another availability zone, and much more
// when it is avoided or leaving. The cheapest one is taken; ties are broken at random, so that the VMs, which know
// nothing of each other's choices, spread over equals.
//
// Requests for one prompt prefer one endpoint, found by rendezvous hashing: a caller who comes back to another VM meets
// the engine that has read its prompt.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/EngineForecast.h"
#include "rollout/VersionChoice.h"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

class EndpointDirectory;
class RelayEndpoint;
struct RelaySettings;

struct PlacementRequest {
    std::string service;
    // Endpoints that this request has tried or uses already.
    std::vector<std::shared_ptr<RelayEndpoint>> excluded;
    // Zones in which a second loss would hit; endpoints there come last.
    std::vector<std::string> zonesToLeave;
    // Names the prompt; requests with the same one prefer the same endpoint of a zone, whichever VM they come in at.
    std::string promptId;
    // How much the preferred endpoint may be busier than others, in calls.
    double preference { 0 };
    // Which runners come into question, by their version.
    VersionChoice version;
    // True for the place of a copy: an endpoint that is avoided or leaving is no place for it.
    bool mustBeSound { false };
};

// Used on the relay's thread only.
class Placement {
public:
    Placement(const EndpointDirectory&, const RelaySettings&, std::uint64_t seed);
    // Null when no endpoint can take the request.
    std::shared_ptr<RelayEndpoint> choose(const PlacementRequest&, Milliseconds now);
    // The endpoints that come first into question, best first: as many as are wanted, or fewer.
    std::vector<std::shared_ptr<RelayEndpoint>> candidates(
        const PlacementRequest&, std::size_t count, Milliseconds now);
    // The best of some engines that have reported their load, by forecast; null when none may take work any more.
    std::shared_ptr<RelayEndpoint> chooseReported(
        const std::vector<std::shared_ptr<RelayEndpoint>>&, const EngineWork&, const EnginePace&, Milliseconds now);

private:
    // The preferred endpoint among the sound ones of the zone, or null.
    const RelayEndpoint* preferred(const PlacementRequest&, Milliseconds now) const;
    double cost(const RelayEndpoint&, const PlacementRequest&, Milliseconds now);
    double random() { return m_uniform(m_random); }

    const EndpointDirectory& m_directory;
    const RelaySettings& m_settings;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform { 0.0, 1.0 };
};

} // namespace lupinknot::internal
