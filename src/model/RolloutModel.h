// Plays roll-outs on a simulated fleet: VMs with callers, the VMs that gather evidence, the platform's store, and
// runners of a present and a candidate version, in steps of 100 ms, from one seed.
//
//     const auto outcome = playRollout({ .seed = 7, .fault = VersionFault::Fails });
//     if (!outcome.violation.empty()) ...
//
// The deciding parts are the ones that lupinknot-entry runs (src/rollout); calls between VMs take a step, may be lost,
// and end with a cut, a pause or a kill. A pure function of its arguments; thread-safe.
#pragma once

#include "lupinknot/EnumNames.h"
#include "rollout/RolloutOrder.h"
#include <array>
#include <string>

namespace lupinknot::internal {

// What is wrong with the candidate.
enum class VersionFault {
    None,
    Fails,
    FailsLate, // From some instant after the order on.
    FailsUnderLoad, // While requests come faster than on average.
    FailsOnOneRoute,
    Slow, // Answers take several times as long, which callers count as bad.
    FlakyBothSides, // Both versions fail a share of their answers alike: the candidate is good.
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

// Faults built into the fleet to show that the checks find them.
enum class PlantedFault {
    None,
    UndividedBudget, // Each VM takes the whole fixed number.
    LateVmGoesOn, // Every other VM neither tells nor hears anything, and goes on trying the candidate.
    DecisionTurns, // The store's record is written without a condition.
};

struct RolloutPlay {
    unsigned seed { 1 };
    int vmCount { 90 };
    double requestsPerSecond { 100 };
    int routeCount { 2 };
    VersionFault fault { VersionFault::None };
    // Share of the candidate's answers that are bad where it is.
    double badShare { 0.4 };
    // Share of all answers that are bad whatever the version.
    double usualBadShare { 0.01 };
    double failsFromSecond { 4 };
    Milliseconds duration { 12000 };
    // Whether VMs are killed, paused and cut off, calls are lost, and the store goes away, by chance.
    bool hasTrouble { true };
    PlantedFault planted { PlantedFault::None };
};

struct RolloutOutcome {
    RolloutDecision decision { RolloutDecision::Undecided };
    // From the order to the store's record, 0 while there is none.
    Milliseconds decidedAfter { 0 };
    // Requests that the candidate received from VMs in touch until the order's time was over, and the most that a bad
    // one may receive.
    int exposed { 0 };
    int mostExposed { 0 };
    // From the candidate's 50th bad answer to the last request sent to it; 0 when there were not so many.
    Milliseconds lastSentAfterFiftyBad { 0 };
    // Names the first rule that was broken; empty when all were kept.
    std::string violation;
};

bool isBadVersion(VersionFault);
RolloutOutcome playRollout(const RolloutPlay&);

} // namespace lupinknot::internal
