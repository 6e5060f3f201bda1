#include "relay/EngineForecast.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EngineForecast)
{
    const EngineWork work { 5000, 1000 };
    const EnginePace pace { 0.2, 5000 };

    std::int64_t delay(const EngineReport& report, std::uint32_t own = 0) const
    {
        return forecastDelay(work, report, own, pace).count();
    }
};

TEST(EngineForecast, AnEngineWithNothingToDoReadsThePromptAtItsPace)
{
    LONGS_EQUAL(1000, delay({}));
    LONGS_EQUAL(1000, readTime(work, pace).count());
}

TEST(EngineForecast, PromptsThatAreReadOrWaitDelayTheRequest)
{
    LONGS_EQUAL_TEXT(1500, delay({ .promptsInPrefill = 1 }), "a prompt that is being read is half read");
    LONGS_EQUAL(3500, delay({ .promptsInPrefill = 1, .promptsWaiting = 2 }));
}

TEST(EngineForecast, RunsBesideThePromptCountBecauseTheyAreSlowed)
{
    LONGS_EQUAL(1000 + 2 * 850, delay({ .generating = 2 }));
}

TEST(EngineForecast, OwnPromptsThatTheReportDoesNotKnowYetCountOnce)
{
    LONGS_EQUAL(2000, delay({}, 1));
    LONGS_EQUAL_TEXT(1500, delay({ .promptsInPrefill = 1 }, 1), "the report knows of this one");
}

TEST(EngineForecast, AnEngineWithoutRoomComesBehindAnyOther)
{
    const EngineReport full { .memoryUsed = 50000, .memoryTotal = 55000 };
    const EngineReport busy { .promptsInPrefill = 1, .promptsWaiting = 9, .generating = 3, .memoryTotal = 55000 };
    CHECK(delay(full) > delay(busy));
}

TEST(EngineForecast, SaysNothingAboutMemoryThatAnEngineDoesNotTell)
{
    LONGS_EQUAL(1000, delay({ .memoryUsed = 1000000000 }));
}

TEST(EngineForecast, NoReportMakesAnEngineWorseThanABound)
{
    const auto absurd = delay({ 1000, 1000, 1000, 1000000000, 1 });
    CHECK(absurd > 0 && absurd <= 60000);
}

TEST(EngineForecast, AnUnknownPromptCountsAsAUsualOne)
{
    LONGS_EQUAL(1000, forecastDelay({}, EngineReport {}, 0, pace).count());
}
