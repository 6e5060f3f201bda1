// Seeded rollouts on a simulated fleet: under faults, a bad version receives no more requests than its limit allows,
// nearly all decisions are right, and the checks detect injected faults.
#include "model/RolloutModel.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr int simulationsPerCase = 8;

struct Tally {
    int right { 0 };
    int wrong { 0 };
    int violations { 0 };
    std::string violation;
};

Tally simulateAll(RolloutScenario scenario, int count, unsigned firstSeed = 1)
{
    Tally tally;
    for (int i = 0; i < count; ++i) {
        scenario.seed = firstSeed + static_cast<unsigned>(i);
        const auto outcome = simulateRollout(scenario);
        const bool isBad = isBadVersion(scenario.fault);
        const auto right = isBad ? RolloutDecision::RolledBack : RolloutDecision::Completed;
        tally.right += outcome.decision == right ? 1 : 0;
        tally.wrong += outcome.decision != right ? 1 : 0;
        if (!outcome.violation.empty()) {
            ++tally.violations;
            tally.violation = outcome.violation + ", seed " + std::to_string(scenario.seed);
        }
    }
    return tally;
}

} // namespace

TEST_GROUP(RolloutModel) {};

TEST(RolloutModel, KeepsTheRulesForEveryCandidateDefect)
{
    for (const auto& fault : versionFaultNames) {
        for (const double rate : { 10.0, 46.0, 160.0 }) {
            const auto tally = simulateAll({ .requestsPerSecond = rate, .fault = fault.value }, simulationsPerCase);
            LONGS_EQUAL_TEXT(0, tally.violations, (std::string(fault.name) + ": " + tally.violation).c_str());
        }
    }
}

TEST(RolloutModel, KeepsTheRulesOnFleetsOfAnySize)
{
    for (const int vmCount : { 6, 30, 340 }) {
        const auto tally = simulateAll(
            { .vmCount = vmCount, .requestsPerSecond = 46, .fault = VersionFault::FailsLate }, simulationsPerCase);
        LONGS_EQUAL_TEXT(0, tally.violations, tally.violation.c_str());
    }
}

TEST(RolloutModel, CompletesGoodCandidates)
{
    LONGS_EQUAL(simulationsPerCase, simulateAll({ .requestsPerSecond = 100 }, simulationsPerCase, 301).right);
}

TEST(RolloutModel, RollsBackBadCandidates)
{
    for (const auto fault : { VersionFault::Fails, VersionFault::FailsOnOneRoute, VersionFault::Slow }) {
        const auto tally = simulateAll({ .requestsPerSecond = 100, .fault = fault }, simulationsPerCase, 401);
        LONGS_EQUAL_TEXT(0, tally.wrong, std::string(nameIn(versionFaultNames, fault)).c_str());
    }
}

TEST(RolloutModel, DetectsAnUndividedExposureBudget)
{
    const auto tally = simulateAll({ .requestsPerSecond = 46,
                                       .fault = VersionFault::FailsLate,
                                       .failsFromSecond = 8,
                                       .injectedFault = InjectedRolloutFault::UndividedBudget },
        simulationsPerCase);
    CHECK_TEXT(
        tally.violations > 0, "no simulation detected that each VM spends the whole fixed part of the exposure limit");
}

TEST(RolloutModel, DetectsAnIsolatedVmThatKeepsTrying)
{
    const auto tally = simulateAll({ .vmCount = 90,
                                       .requestsPerSecond = 400,
                                       .fault = VersionFault::Fails,
                                       .badShare = 1,
                                       .injectedFault = InjectedRolloutFault::IsolatedVmKeepsTrying },
        40);
    CHECK_TEXT(tally.violations > 0, "no simulation detected that isolated VMs keep trying the candidate");
}

TEST(RolloutModel, DetectsAnOverwrittenDecision)
{
    const auto tally = simulateAll({ .requestsPerSecond = 100,
                                       .fault = VersionFault::FailsLate,
                                       .failsFromSecond = 10.5,
                                       .injectedFault = InjectedRolloutFault::DecisionIsOverwritten },
        40);
    CHECK_TEXT(
        tally.violations > 0, "no simulation detected that the later of two aggregators overwrites the decision");
}
