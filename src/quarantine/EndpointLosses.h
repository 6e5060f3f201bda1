// Records the endpoints that this VM has lost recently and decides whether a loss was correlated with others.
//
// Load pattern: the endpoints of a zone, or most endpoints of a service, go down almost simultaneously. The requests
// that ran there are not the cause. Endpoints lost under the same request do not count as others, because a request
// that crashes whatever runs it causes such a series by itself, within one attempt and over several. Used on the
// relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>
#include <string>
#include <vector>

namespace lupinknot::internal {

struct EndpointLoss {
    // The endpoint incarnation.
    std::string endpointId;
    std::string service;
    std::string zone;
    // Identifies the request under which the loss was seen (digestOf).
    std::string digest;
    Milliseconds at { 0 };
};

// Numbers of endpoints, without the lost one.
struct OtherEndpointCounts {
    std::size_t inZone { 0 };
    std::size_t inService { 0 };
};

class EndpointLosses {
public:
    // Records a loss. If the endpoint has been alive since its last recorded loss (`lastAliveAt`), this is a new loss;
    // otherwise another request has detected the same one.
    void note(EndpointLoss, Milliseconds lastAliveAt);
    // True if the endpoint was lost before `instant` and has not been alive since, so that a request sent at `instant`
    // did not crash it.
    bool wasLostBefore(const std::string& endpointId, Milliseconds instant, Milliseconds lastAliveAt) const;
    // True if enough other endpoints were lost within `correlationWindow` to explain the loss.
    bool isCorrelatedLoss(const EndpointLoss&, const OtherEndpointCounts&) const;

    // Losses this close together count as one event: broken connections are seen at once, silence within about 300 ms.
    static constexpr Milliseconds correlationWindow { 500 };

private:
    // One lost endpoint, with all requests under which the loss was seen.
    struct LostEndpoint {
        EndpointLoss first;
        std::vector<std::string> digests;
    };

    std::deque<LostEndpoint> m_losses;
};

} // namespace lupinknot::internal
