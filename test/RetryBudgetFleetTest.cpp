// Simulates a fleet of VMs that do not coordinate their retries, for a range of seeds: together they must stay within
// the budget in every window.
#include "model/RetryModel.h"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

void checkStaysWithinBudget(const RetryScenario& play)
{
    const auto outcome = simulateRetries(play);
    const auto excess = static_cast<int>(outcome.greatestExcess);
    CHECK_TEXT(excess <= 0,
        StringFromFormat("seed %d, %d VMs: %d retries more than the budget allows in a window (%d sent, %d denied)",
            static_cast<int>(play.seed), play.vmCount, excess, outcome.retries, outcome.denied)
            .asCharString());
}

// Seeds above 60 with which the fleet exceeded the budget.
constexpr std::array<std::uint64_t, 13> seedsThatExceeded { 83, 104, 130, 164, 168, 175, 196, 255, 300, 322, 332, 366,
    441 };

} // namespace

TEST_GROUP(RetryBudgetFleet) {};

// Engines run at half speed and change their names while the store is unavailable: runs last twice as long, more of
// them are lost at a time, and two in five attempts are rejected. Each VM took 2.3 times its part.
TEST(RetryBudgetFleet, StaysWithinTheBudgetWhileEnginesRestartUnderUnknownNames)
{
    for (std::uint64_t seed = 21; seed < 31; ++seed)
        checkStaysWithinBudget({ .seed = seed, .requestsPerSecond = 27.6, .runSeconds = 11, .lossShare = 0.95 });
}

TEST(RetryBudgetFleet, StaysWithinTheBudgetForAnySizeAndLoad)
{
    RetryScenarios plays;
    for (auto play = plays.next(); play.seed <= seedsThatExceeded.back(); play = plays.next()) {
        if (play.seed <= 60 || std::count(seedsThatExceeded.begin(), seedsThatExceeded.end(), play.seed))
            checkStaysWithinBudget(play);
    }
}

// VMs freeze, and the callers of a zone move to others, so that VMs that have spent their parts lose requests to VMs
// that earn new parts for them within the same window. Guards against a share of the budget that leaves too little for
// this.
TEST(RetryBudgetFleet, StaysWithinTheBudgetWhileRequestsMoveAwayFromFrozenVms)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
        checkStaysWithinBudget({ .seed = seed,
            .vmCount = 54,
            .requestsPerSecond = 202,
            .runSeconds = 10.7,
            .lossEverySeconds = 8,
            .rejectedShare = 0.03,
            .rejectedShareWhileStoreSilent = 0.88,
            .movedShare = 0.01,
            .restartShare = 0.24,
            .restartEverySeconds = 10,
            .zoneLeftAtSecond = 25,
            .frozenShare = 0.19 });
}

// The budget must be usable: where losses are alike on all VMs, they spend most of it.
TEST(RetryBudgetFleet, SpendsMostOfTheBudgetWhenLossesAffectAllVms)
{
    const auto outcome = simulateRetries({ .seed = 3, .rejectedShare = 0.7, .rejectedShareWhileStoreSilent = 0.9 });
    const auto left = static_cast<int>(-outcome.greatestExcess);
    CHECK_TEXT(left < 150,
        StringFromFormat("%d of about 520 retries in a window are unused, expected fewer than 150", left)
            .asCharString());
}
