// Plays an endpoint under a limit and the VMs that have requests for it, on simulated time, from one seed.
//
//     const auto outcome = playLimit({ .way = LimitWay::OneCounts, .vmCount = 88, .perSecond = 2.3, .seed = 7 });
//     if (outcome.worstExcess > 0) ...
//
// The deciding parts are the ones that lupinknot-entry runs (src/limits); calls between VMs take 1 to 4 ms and end with
// a kill, a pause or a cut. What the endpoint gets is held against one and a half times its limit and five more within
// each four seconds, from three seconds after it first named the limit, over the VMs that had an answer which names it
// half a second before and that nothing has struck for three seconds. A pure function of its arguments; thread-safe.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>

namespace lupinknot::internal {

// How VMs keep to a limit that is meant for all of them together.
enum class LimitWay {
    EvenShare, // Each VM sends its part by the number of VMs.
    DemandShares, // Each VM sends a part by its share of the requests, which VMs tell each other twice a second.
    OneCounts, // One VM, the same for all, gives out permits.
    BackOff, // No word between VMs: each slows down when the endpoint turns a request away, and speeds up slowly.
};

inline constexpr std::array<EnumName<LimitWay>, 4> limitWayNames { {
    { LimitWay::EvenShare, "even share" },
    { LimitWay::DemandShares, "shares by demand" },
    { LimitWay::OneCounts, "one VM counts" },
    { LimitWay::BackOff, "back off" },
} };

// Faults built into the VMs to show that the check finds them.
enum class PlantedLimitFault {
    None,
    WholeSubstitutes, // A VM that stands in for the one that counts gives out the whole limit at once.
    KeepsOldLimit, // A limit that has changed is not noticed.
    EachCounts, // Each VM counts the endpoint's requests by itself.
};

struct LimitPlay {
    LimitWay way { LimitWay::OneCounts };
    std::size_t vmCount { 7 };
    double perSecond { 1 };
    // Requests a second of all VMs, as a multiple of the limit, and at least a few.
    double demand { 4 };
    // One VM has nine tenths of the requests.
    bool isUneven { false };
    // VMs are killed, paused and cut off, and the limit falls, rises, ends and comes back.
    bool hasTrouble { true };
    PlantedLimitFault planted { PlantedLimitFault::None };
    std::uint64_t seed { 1 };
};

struct LimitOutcome {
    // The most requests in four seconds beyond what is allowed; negative or 0 when the promise was kept.
    double worstExcess { -1 };
    // The most in four seconds as a share of what is allowed.
    double worstShare { 0 };
    // Share of the limit that was used while requests for it were refused.
    double use { 0 };
    // Calls between VMs a second, on the mean of the play.
    double callsPerSecond { 0 };
};

LimitOutcome playLimit(const LimitPlay&);

} // namespace lupinknot::internal
