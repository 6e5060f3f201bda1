// Keeps one endpoint's limit on simulated fleets of 3 to 300 VMs, while VMs are killed, paused and disconnected, the
// limit falls, rises, ends and returns, and the endpoint restarts.
//
// Seeds that showed a fault stay in the tests:
// - 35, 155: a limit keeper is killed repeatedly, and each of its starts allows a burst.
// - 154: all three limit keepers are disconnected together; 65 other VMs issue their own permits, and each sends one
//   request at once.
// - 1270, 1511: the limit falls to 0 while permits are outstanding and limit keepers restart.
// - 2478, 4215, 7479: a limit keeper restarts or was frozen, and the first VM to request a permit knows an
//   outdated limit.
// - 6799: a limit of 400 per second falls to 0; requests already on their way are allowed.
#include "model/LimitModel.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(LimitModel)
{
    static constexpr std::array<std::size_t, 4> vmCounts { 3, 7, 88, 300 };
    static constexpr std::array<double, 5> limits { 0.2, 1, 2.3, 20, 200 };

    static LimitScenario scenarioOf(std::uint64_t seed)
    {
        return { .vmCount = vmCounts.at(seed % vmCounts.size()),
            .perSecond = limits.at(seed / vmCounts.size() % limits.size()),
            .isUneven = seed / 3 % 2 == 0,
            .seed = seed };
    }

    static void checkLimitKept(std::uint64_t seed)
    {
        const auto outcome = simulateLimit(scenarioOf(seed));
        CHECK_TEXT(outcome.worstExcess <= 0, ("seed " + std::to_string(seed)).c_str());
    }

    // The number of simulations in which the limit was exceeded.
    static int countViolations(InjectedLimitFault injectedFault, std::uint64_t count)
    {
        int violations = 0;
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            auto scenario = scenarioOf(seed);
            scenario.injectedFault = injectedFault;
            violations += simulateLimit(scenario).worstExcess > 0;
        }
        return violations;
    }
};

TEST(LimitModel, KeepsTheLimitUnderFaultsOnFleetsOfAllSizes)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        checkLimitKept(seed);
    for (const auto seed : { 454, 674, 995, 1270, 1390, 1431, 1511, 1539, 1582, 2478, 4215, 6799, 7479 })
        checkLimitKept(static_cast<std::uint64_t>(seed));
}

// VMs use at least nine tenths of the limit, whichever of them receive the requests.
TEST(LimitModel, UsesTheLimitWhicheverVmsReceiveTheRequests)
{
    for (const auto vms : vmCounts) {
        for (const bool isUneven : { false, true }) {
            const auto outcome
                = simulateLimit({ .vmCount = vms, .perSecond = 20, .isUneven = isUneven, .hasFaults = false });
            CHECK_TEXT(outcome.use >= 0.9, std::to_string(outcome.use).c_str());
        }
    }
}

TEST(LimitModel, DetectsInjectedFaults)
{
    for (const auto injectedFault : { InjectedLimitFault::SubstituteIssuesWholeLimit,
             InjectedLimitFault::IgnoresChangedLimit, InjectedLimitFault::EachVmUsesWholeLimit })
        CHECK_TEXT(countViolations(injectedFault, 200) > 0, std::to_string(static_cast<int>(injectedFault)).c_str());
}
