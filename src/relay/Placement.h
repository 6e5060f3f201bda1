// Chooses the endpoint of a new attempt.
//
// An endpoint's cost is what this VM has under way there, more when it lies in another availability zone, and much more
// when it is avoided or leaving. The cheapest one is taken; ties are broken at random, so that the VMs, which know
// nothing of each other's choices, spread over equals.
//
// Requests for one prompt prefer one endpoint, found by rendezvous hashing: a caller who comes back to another VM meets
// the engine that has read its prompt.
#pragma once

#include "endpoint/EndpointAvailability.h"
#include "lupinknot/Clock.h"
#include "relay/EngineForecast.h"
#include "rollout/VersionChoice.h"
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

class EndpointDirectory;
class RelayEndpoint;
struct RelaySettings;

// What becomes of endpoints that take only so many requests a second.
enum class LimitedEndpoints {
    Admitted, // As endpoints of that size; those for which no permit is to be had now are left out.
    Excluded, // For what need not be sent at all.
    NotSent, // As any other: nothing is sent there.
};

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
    bool mustBeHealthy { false };
    LimitedEndpoints limited { LimitedEndpoints::Admitted };
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
    // When the first endpoint takes a request again if all in question rest or are limited; nothing when one takes what
    // it gets, or when there is none.
    std::optional<EndpointAvailability> nextAvailability(const PlacementRequest&, Milliseconds now) const;
    // The best of some engines that have reported their load, by forecast; null when none may take work any more.
    std::shared_ptr<RelayEndpoint> chooseReported(
        const std::vector<std::shared_ptr<RelayEndpoint>>&, const EngineWork&, const EnginePace&, Milliseconds now);

private:
    struct Candidate {
        // In calls under way.
        double cost;
        std::shared_ptr<RelayEndpoint> endpoint;
    };

    static void applyLimits(std::vector<Candidate>&, LimitedEndpoints, Milliseconds now);
    // The first so many by cost; the candidates are put in order as far as that.
    static std::vector<std::shared_ptr<RelayEndpoint>> cheapest(std::vector<Candidate>&, std::size_t count);
    // The preferred endpoint among the sound ones of the zone, or null.
    const RelayEndpoint* preferred(const PlacementRequest&, Milliseconds now) const;
    // True unless the request rules the endpoint out, whatever the endpoint says.
    static bool isInQuestion(const RelayEndpoint&, const PlacementRequest&);
    // True when the request may be sent to the endpoint, if a permit can be had for it.
    bool isEligible(const RelayEndpoint&, const PlacementRequest&, Milliseconds now) const;
    double cost(const RelayEndpoint&, const PlacementRequest&, Milliseconds now);
    double random() { return m_uniform(m_random); }

    const EndpointDirectory& m_directory;
    const RelaySettings& m_settings;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform { 0.0, 1.0 };
};

} // namespace lupinknot::internal
