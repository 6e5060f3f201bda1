// The endpoints that this VM has lost lately, and whether one of them went together with others.
//
// Load pattern: a zone's endpoints, or most of a service's, end within a correlationWindow of each other. Whatever ran
// there has lost its endpoint with others and is not to blame. Endpoints that were lost under the same request do not
// count as others: a request that ends whatever runs it makes such a row by itself, within one attempt and over
// several. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>
#include <string>
#include <vector>

namespace lupinknot::internal {

struct EndpointLoss {
    // Names the start of the endpoint.
    std::string endpointId;
    std::string service;
    std::string zone;
    // Of the request that has seen it (digestOf).
    std::string digest;
    Milliseconds at { 0 };
};

// How many other endpoints there are beside the lost one.
struct OtherEndpointCounts {
    std::size_t inZone { 0 };
    std::size_t inService { 0 };
};

class EndpointLosses {
public:
    // Of an endpoint that has shown life since its last loss, this is another one.
    void note(EndpointLoss, Milliseconds lastAliveAt);
    // True when the endpoint was lost before the instant and had shown no life since: whatever was sent to it then has
    // not ended it.
    bool wasLostBefore(const std::string& endpointId, Milliseconds instant, Milliseconds lastAliveAt) const;
    // True when enough others went within the correlationWindow to explain the loss.
    bool isCorrelatedLoss(const EndpointLoss&, const OtherEndpointCounts&) const;

    // Losses so close to each other are one event: breaks are seen at once, silence within some 300 ms.
    static constexpr Milliseconds correlationWindow { 500 };

private:
    // One endpoint, whoever has seen it go.
    struct Lost {
        EndpointLoss first;
        std::vector<std::string> digests;
    };

    std::deque<Lost> m_losses;
};

} // namespace lupinknot::internal
