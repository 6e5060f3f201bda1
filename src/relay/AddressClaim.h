// An endpoint's claim to its address, one of several when the list names several endpoints at one address.
//
// An endpoint that has ended stays listed for a while after the next one has started at its address, and other writers
// may add entries of their own. Which claims hold depends on the set of claims alone, not on the order in which they
// arrived: a claim holds unless it is misdirected or another one displaces it.
//
//     const AddressClaim ended { .entry = &first };
//     const AddressClaim present { .entry = &second };    // Its endpoint started later.
//     present.displaces(ended);                           // True
//
// A value without I/O.
#pragma once

#include "relay/EndpointEntry.h"
#include <vector>

namespace lupinknot::internal {

struct AddressClaim {
    // Must outlive the claim.
    const EndpointEntry* entry { nullptr };
    // False for an endpoint whose entry was removed and which is only a last resort.
    bool isListed { true };
    // True after an answer has shown that another endpoint runs at the address.
    bool isMisdirected { false };
    // True when the configuration in force contains the entry's service.
    bool isServiceKnown { true };

    // True if this claim proves that the other endpoint no longer runs at the address. Of one service, the endpoint
    // that started last runs there; where start times do not tell, the entry that was written last is taken for its.
    // Between services only start times count, because an endpoint that is wrongly displaced gets no request whose
    // answer could correct that.
    bool displaces(const AddressClaim& other) const;
    // For each claim to one address, whether another one displaces it. The time is linear in the number of claims:
    // other writers may add any number of entries.
    static std::vector<bool> displaced(const std::vector<AddressClaim>&);
    // True if this claim is more likely than the other one to be of the endpoint that runs at the address.
    bool precedes(const AddressClaim& other) const;
};

} // namespace lupinknot::internal
