#include "admission/StartupWait.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds start { 5000 };

StartupDecision decide(std::int64_t arrivedAfter, std::int64_t nowAfter, std::optional<Milliseconds> callerTimeout = {},
    bool hasConfiguration = false, bool hasEndpoints = false)
{
    return decideStartup({ start, hasConfiguration, hasEndpoints },
        { start + Milliseconds { arrivedAfter }, callerTimeout }, start + Milliseconds { nowAfter });
}

} // namespace

TEST_GROUP(StartupWait) {};

TEST(StartupWait, ServesAtOnceWithConfigurationAndEndpoints)
{
    CHECK(decide(10, 10, {}, true, true).action == StartupAction::Serve);
}

TEST(StartupWait, WaitsForConfigurationAndEndpoints)
{
    CHECK(decide(10, 10).action == StartupAction::Wait);
    CHECK_TEXT(decide(10, 10, {}, true).action == StartupAction::Wait, "a VM without endpoints cannot serve either");
    CHECK_TEXT(
        decide(10, 10, {}, false, true).action == StartupAction::Wait, "a VM without routes cannot serve either");
}

TEST(StartupWait, WaitsAtMostAnEighthOfCallerTimeout)
{
    const auto decision = decide(10, 10, Milliseconds { 800 });
    LONGS_EQUAL(110, (decision.until - start).count());
    CHECK(decide(10, 110, Milliseconds { 800 }).action == StartupAction::Refuse);
}

TEST(StartupWait, RefusesAtOnceAfterMaxStartupTime)
{
    CHECK_TEXT(decide(maxStartupTime.count(), maxStartupTime.count()).action == StartupAction::Refuse,
        "configuration that is overdue is not expected soon");
}

TEST(StartupWait, ServesRequestWithRouteButNoEndpointAfterMaxStartupTime)
{
    CHECK(decide(10, maxStartupTime.count(), {}, true).action == StartupAction::Serve);
}

// 295 killed VMs restart and receive their configuration after a median of 40 ms, 70 ms at the 95th percentile, while
// 320 callers a second arrive. Without waiting, every caller that arrives before the configuration is refused.
TEST(StartupWait, FleetRestartReplayRefusesNoCaller)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> learnsAfter(std::log(40.0), 0.34);
    std::uniform_real_distribution<double> within(0, 500);
    int refusedBefore = 0;
    int refused = 0;
    Milliseconds longestWait { 0 };
    for (int caller = 0; caller < 160; ++caller) {
        const auto known = start + Milliseconds { static_cast<std::int64_t>(learnsAfter(random)) };
        const auto arrival = start + Milliseconds { static_cast<std::int64_t>(within(random)) };
        if (arrival >= known)
            continue;
        ++refusedBefore;
        const StartupRequest request { arrival, Milliseconds { 4000 } };
        const auto decision = decideStartup({ start, false, false }, request, arrival);
        if (decision.action == StartupAction::Wait && known <= decision.until)
            longestWait = std::max(longestWait, known - arrival);
        else
            ++refused;
    }
    CHECK_TEXT(refusedBefore >= 10, "the replayed load should reach VMs that have no configuration yet");
    LONGS_EQUAL(0, refused);
    CHECK_TEXT(longestWait < Milliseconds { 150 }, "callers of short calls must not notice the wait");
}
