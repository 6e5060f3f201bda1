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
