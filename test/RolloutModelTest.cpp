// Seeded rollouts on a simulated fleet: under faults, a bad version receives no more requests than its limit allows,
// nearly all decisions are right, and the checks detect injected faults.
#include "model/RolloutModel.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr int playsOfEach = 8;

struct Tally {
    int right { 0 };
    int wrong { 0 };
    int broken { 0 };
    std::string violation;
};

Tally playAll(RolloutPlay play, int count, unsigned firstSeed = 1)
{
    Tally tally;
    for (int i = 0; i < count; ++i) {
        play.seed = firstSeed + static_cast<unsigned>(i);
        const auto outcome = playRollout(play);
        const bool isBad = isBadVersion(play.fault);
        const auto right = isBad ? RolloutDecision::RolledBack : RolloutDecision::Completed;
        tally.right += outcome.decision == right ? 1 : 0;
        tally.wrong += outcome.decision != right ? 1 : 0;
        if (!outcome.violation.empty()) {
            ++tally.broken;
            tally.violation = outcome.violation + ", seed " + std::to_string(play.seed);
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
            const auto tally = playAll({ .requestsPerSecond = rate, .fault = fault.value }, playsOfEach);
            LONGS_EQUAL_TEXT(0, tally.broken, (std::string(fault.name) + ": " + tally.violation).c_str());
        }
    }
}

TEST(RolloutModel, KeepsTheRulesOnFleetsOfAnySize)
{
    for (const int vmCount : { 6, 30, 340 }) {
        const auto tally
            = playAll({ .vmCount = vmCount, .requestsPerSecond = 46, .fault = VersionFault::FailsLate }, playsOfEach);
        LONGS_EQUAL_TEXT(0, tally.broken, tally.violation.c_str());
    }
}

TEST(RolloutModel, CompletesGoodCandidates)
{
    LONGS_EQUAL(playsOfEach, playAll({ .requestsPerSecond = 100 }, playsOfEach, 301).right);
}

TEST(RolloutModel, RollsBackBadCandidates)
{
    for (const auto fault : { VersionFault::Fails, VersionFault::FailsOnOneRoute, VersionFault::Slow }) {
        const auto tally = playAll({ .requestsPerSecond = 100, .fault = fault }, playsOfEach, 401);
        LONGS_EQUAL_TEXT(0, tally.wrong, std::string(nameIn(versionFaultNames, fault)).c_str());
    }
}

TEST(RolloutModel, DetectsAnUndividedExposureBudget)
{
    const auto tally = playAll({ .requestsPerSecond = 46,
                                   .fault = VersionFault::FailsLate,
                                   .failsFromSecond = 8,
                                   .planted = PlantedFault::UndividedBudget },
        playsOfEach);
    CHECK_TEXT(
        tally.broken > 0, "no simulation detected that each VM spends the whole fixed part of the exposure limit");
}

TEST(RolloutModel, DetectsAnIsolatedVmThatKeepsTrying)
{
    const auto tally = playAll({ .vmCount = 90,
                                   .requestsPerSecond = 400,
                                   .fault = VersionFault::Fails,
                                   .badShare = 1,
                                   .planted = PlantedFault::LateVmGoesOn },
        40);
    CHECK_TEXT(tally.broken > 0, "no simulation detected that isolated VMs keep trying the candidate");
}

TEST(RolloutModel, DetectsAnOverwrittenDecision)
{
    const auto tally = playAll({ .requestsPerSecond = 100,
                                   .fault = VersionFault::FailsLate,
                                   .failsFromSecond = 10.5,
                                   .planted = PlantedFault::DecisionTurns },
        40);
    CHECK_TEXT(tally.broken > 0, "no simulation detected that the later of two aggregators overwrites the decision");
}
