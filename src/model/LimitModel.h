// Discrete-event simulation of one rate-limited endpoint and the VMs that send requests to it; seeded.
//
//     const auto outcome = simulateLimit({ .vmCount = 88, .perSecond = 2.3, .seed = 7 });
//     if (outcome.worstExcess > 0) ...
//
// The simulation runs the decision code of lupinknot-entry (src/limits). Calls between VMs take 1 to 4 ms and fail when
// a VM is killed, paused or disconnected.
//
// The check allows the endpoint 1.5 times its limit plus 5 requests in any 4 seconds, from 3 seconds after the endpoint
// first stated the limit. It counts a VM's requests only if the VM received a response that states the limit at least
// half a second before and had no fault in the last 3 seconds. A pure function of its arguments; thread-safe.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>

namespace lupinknot::internal {

// How VMs enforce a limit that applies to the sum of their requests.
enum class LimitEnforcement {
    EvenShare, // Each VM may use an equal share of the limit.
    DemandShares, // Each VM may use a share proportional to its requests; VMs exchange the counts twice a second.
    SingleKeeper, // One VM, the limit keeper, issues the permits for all VMs.
    BackOff, // VMs do not communicate; each halves its rate on a rejection and raises it slowly.
};

inline constexpr std::array<EnumName<LimitEnforcement>, 4> limitEnforcementNames { {
    { LimitEnforcement::EvenShare, "even share" },
    { LimitEnforcement::DemandShares, "shares by demand" },
    { LimitEnforcement::SingleKeeper, "one limit keeper" },
    { LimitEnforcement::BackOff, "back off" },
} };

// Faults injected into the VMs to prove that the check detects them.
enum class InjectedLimitFault {
    None,
    SubstituteIssuesWholeLimit, // A substitute limit keeper issues permits for the whole limit at once.
    IgnoresChangedLimit, // A VM ignores a changed limit.
    EachVmUsesWholeLimit, // Each VM applies the whole limit to its own requests.
};

struct LimitScenario {
    LimitEnforcement enforcement { LimitEnforcement::SingleKeeper };
    std::size_t vmCount { 7 };
    double perSecond { 1 };
    // Requests per second of all VMs, as a multiple of the limit; the model has a minimum rate.
    double demand { 4 };
    // One VM receives nine tenths of the requests.
    bool isUneven { false };
    // Kills, pauses and disconnects VMs, and lowers, raises, removes and restores the limit.
    bool hasFaults { true };
    InjectedLimitFault injectedFault { InjectedLimitFault::None };
    std::uint64_t seed { 1 };
};

struct LimitOutcome {
    // The most requests in 4 seconds beyond the allowed number; negative or 0 if the limit was kept.
    double worstExcess { -1 };
    // The most requests in 4 seconds as a share of the allowed number.
    double worstShare { 0 };
    // Share of the limit that was used while VMs refused requests.
    double use { 0 };
    // Mean number of calls between VMs per second.
    double callsPerSecond { 0 };
};

LimitOutcome simulateLimit(const LimitScenario&);

} // namespace lupinknot::internal
