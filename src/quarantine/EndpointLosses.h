// The endpoints that this VM has lost lately, and whether one of them went together with others.
//
// Load pattern: a zone's endpoints, or most of a service's, end within a moment of each other. Whatever ran there has
// lost its endpoint with others and is not to blame. The endpoints that one request has lost one after the other do not
// count as others: a request that ends whatever runs it makes such a row by itself.
// Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>
#include <string>
#include <vector>

namespace lupinknot::internal {

struct EndpointLoss {
    std::string endpointId;
    std::string service;
    std::string zone;
    Milliseconds at { 0 };
};

// How many other endpoints there are beside the lost one.
struct OtherEndpoints {
    std::size_t inZone { 0 };
    std::size_t inService { 0 };
};

class EndpointLosses {
public:
    void note(EndpointLoss);
    // True when enough others went within the moment to explain the loss; of those, the excluded ones do not count.
    bool wentWithOthers(const EndpointLoss&, const OtherEndpoints&, const std::vector<std::string>& excludedIds) const;

    // Losses so close to each other are one event: breaks are seen at once, silence within some 300 ms.
    static constexpr Milliseconds moment { 500 };

private:
    std::deque<EndpointLoss> m_losses;
};

} // namespace lupinknot::internal
