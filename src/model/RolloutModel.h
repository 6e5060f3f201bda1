// Simulates rollouts on a fleet: VMs with callers, aggregators, the platform's store, and runners of a present and a
// candidate version, in steps of 100 ms; seeded.
//
//     const auto outcome = simulateRollout({ .seed = 7, .fault = VersionFault::Fails });
//     if (!outcome.violation.empty()) ...
//
// The simulation runs the decision code of lupinknot-entry (src/rollout). Calls between VMs take one step, may be lost,
// and fail when a VM is disconnected, paused or killed. A pure function of its arguments; thread-safe.
#pragma once

#include "lupinknot/EnumNames.h"
#include "rollout/RolloutOrder.h"
#include <array>
#include <string>

namespace lupinknot::internal {

// The defect of the candidate version.
enum class VersionFault {
    None,
    Fails,
    FailsLate, // From failsFromSecond after the order on.
    FailsUnderLoad, // While the request rate is above average.
    FailsOnOneRoute,
    Slow, // Responses take several times as long and are rated bad.
    FlakyBothSides, // Both versions fail the same share of requests, so the candidate counts as good.
};

inline constexpr std::array<EnumName<VersionFault>, 7> versionFaultNames { {
    { VersionFault::None, "good" },
    { VersionFault::Fails, "fails" },
    { VersionFault::FailsLate, "fails late" },
    { VersionFault::FailsUnderLoad, "fails under load" },
    { VersionFault::FailsOnOneRoute, "fails on one route" },
    { VersionFault::Slow, "slow" },
    { VersionFault::FlakyBothSides, "good, both sides flaky" },
} };

// Faults injected into the fleet to prove that the checks detect them.
enum class InjectedRolloutFault {
    None,
    UndividedBudget, // Each VM uses the whole fixed part of the exposure limit instead of its share.
    IsolatedVmKeepsTrying, // Every second VM sends no evidence, receives no directives or decisions, and keeps trying
                           // the candidate.
    DecisionIsOverwritten, // The store's record of the decision is overwritten unconditionally.
};

struct RolloutScenario {
    unsigned seed { 1 };
    int vmCount { 90 };
    double requestsPerSecond { 100 };
    int routeCount { 2 };
    VersionFault fault { VersionFault::None };
    // Share of bad responses of the candidate where its defect shows.
    double badShare { 0.4 };
    // Share of bad responses of both versions apart from the defect.
    double baselineBadShare { 0.01 };
    double failsFromSecond { 4 };
    Milliseconds duration { 12000 };
    // Randomly kills, pauses and disconnects VMs, loses calls, and makes the store unreachable.
    bool hasFaults { true };
    InjectedRolloutFault injectedFault { InjectedRolloutFault::None };
};

struct RolloutOutcome {
    RolloutDecision decision { RolloutDecision::Undecided };
    // Time from the order to the decision in the store; 0 if there is none.
    Milliseconds decidedAfter { 0 };
    // Requests that connected VMs sent to the candidate within the order's duration, and the most that a bad candidate
    // may receive.
    int exposed { 0 };
    int allowedExposure { 0 };
    // Time from the candidate's 50th bad response to the last request sent to it; 0 if it had fewer bad responses.
    Milliseconds lastSentAfterFiftyBad { 0 };
    // The first rule that was violated; empty if none was.
    std::string violation;
};

bool isBadVersion(VersionFault);
RolloutOutcome simulateRollout(const RolloutScenario&);

} // namespace lupinknot::internal
