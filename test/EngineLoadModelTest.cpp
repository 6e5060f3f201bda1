#include "model/EngineLoadModel.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EngineLoadModel) { // The mean share of answers in time over some seeds.
    static double inTime(EngineLoadScenario scenario) { constexpr std::uint64_t seeds = 4;
double sum = 0;
for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed)
    sum += simulateEngineLoad(scenario).inTimeShare();
return sum / static_cast<double>(seeds);
}
}
;

TEST(EngineLoadModel, IsDeterministic)
{
    const auto first = simulateEngineLoad({ .hasZoneFailures = true, .seed = 3 });
    const auto second = simulateEngineLoad({ .hasZoneFailures = true, .seed = 3 });
    CHECK(first.streams > 0);
    LONGS_EQUAL(first.inTime, second.inTime);
    LONGS_EQUAL(first.meanFirstEvent.count(), second.meanFirstEvent.count());
}

TEST(EngineLoadModel, AnIdleEngineTakesTheTimeOfTheDescription)
{
    const auto outcome = simulateEngineLoad({ .speeds = { 1 },
        .slowPhasesPerSecond = 0,
        .streamsPerSecond = 3,
        .swing = 0,
        .longestPause = Milliseconds { 129 } });
    LONGS_EQUAL(outcome.streams, outcome.inTime);
    CHECK(outcome.meanFirstEvent.count() >= 1000 && outcome.meanFirstEvent.count() <= 1300);
}

// Two thirds of the engines take 0.7 of the usual time, one third takes 1.7 of it.
TEST(EngineLoadModel, ThePaceOfEachEngineBringsMoreAnswersInTime)
{
    const auto ofService = inTime({ .selection = EngineSelection::ServicePace, .streamsPerSecond = 48 });
    const auto ofEngines = inTime({ .streamsPerSecond = 48 });
    CHECK_TEXT(1 - ofEngines < (1 - ofService) / 2, "the late answers should be less than half");
}

TEST(EngineLoadModel, EnginesThatAreSlowForHalfASecondAreNotRememberedAsSlow)
{
    const auto outcome = simulateEngineLoad({ .slowPhasesPerSecond = 0.3 });
    CHECK(outcome.meanPaceError < 0.15);
}

// Probes stayed in the zone whose demand had risen.
TEST(EngineLoadModel, ADemandThatSwingsInOneZoneIsServedByTheOthersToo)
{
    const EngineLoadScenario scenario {
        .streamsPerSecond = 66, .swing = 0.55, .swingPeriod = Milliseconds { 17000 }, .swingsInOneZone = true
    };
    auto ownZone = scenario;
    ownZone.probesOtherZones = false;
    CHECK(inTime(scenario) > inTime(ownZone) + 0.005);
}

TEST(EngineLoadModel, WithoutReportsPromptsStillPreferFastEngines)
{
    const EngineLoadScenario scenario { .streamsPerSecond = 32, .reportsStopAt = Milliseconds { 14000 } };
    auto ofService = scenario;
    ofService.selection = EngineSelection::ServicePace;
    CHECK(inTime(scenario) > inTime(ofService) + 0.02);
}

// An engine that restarts may be on another machine.
TEST(EngineLoadModel, EnginesThatReturnWithAnotherSpeedAreLearnedAgain)
{
    const auto outcome = simulateEngineLoad({ .speedsChangeAt = Milliseconds { 20000 } });
    CHECK(outcome.meanPaceError < 0.25);
}
