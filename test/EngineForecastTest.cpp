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

TEST(EngineForecast, AnIdleEnginePrefillsThePromptAtItsPace)
{
    LONGS_EQUAL(1000, delay({}));
    LONGS_EQUAL(1000, prefillTime(work, pace).count());
}

TEST(EngineForecast, PromptsInPrefillOrQueuedDelayTheRequest)
{
    LONGS_EQUAL_TEXT(1500, delay({ .promptsInPrefill = 1 }), "a prompt in prefill counts as half processed");
    LONGS_EQUAL(3500, delay({ .promptsInPrefill = 1, .promptsWaiting = 2 }));
}

TEST(EngineForecast, CountsTheSlowdownOfOtherRuns) { LONGS_EQUAL(1000 + 2 * 400, delay({ .generating = 2 })); }

TEST(EngineForecast, AFastEngineWithAShortQueueIsBetterThanAnIdleSlowOne)
{
    const auto fast = forecastDelay(work, { .promptsInPrefill = 1 }, 0, pace.scaledBy(0.7));
    const auto slow = forecastDelay(work, EngineReport {}, 0, pace.scaledBy(1.7));
    DOUBLES_EQUAL(1050, static_cast<double>(fast.count()), 1);
    DOUBLES_EQUAL(1700, static_cast<double>(slow.count()), 1);
    LONGS_EQUAL_TEXT(2 * 1800, forecastDelay(work, { .generating = 2 }, 0, pace.scaledBy(2)).count(),
        "a slow engine delays its other runs for longer");
}

TEST(EngineForecast, CountsOwnPromptsMissingFromTheReportOnce)
{
    LONGS_EQUAL(2000, delay({}, 1));
    LONGS_EQUAL_TEXT(1500, delay({ .promptsInPrefill = 1 }, 1), "the report already contains this prompt");
}

TEST(EngineForecast, AnEngineWithoutMemoryComesLast)
{
    const EngineReport full { .memoryUsed = 50000, .memoryTotal = 55000 };
    const EngineReport busy { .promptsInPrefill = 1, .promptsWaiting = 9, .generating = 3, .memoryTotal = 55000 };
    CHECK(delay(full) > delay(busy));
}

TEST(EngineForecast, IgnoresMemoryUseWhenTheTotalIsUnknown) { LONGS_EQUAL(1000, delay({ .memoryUsed = 1000000000 })); }

TEST(EngineForecast, TheForecastIsBoundedForAnyReport)
{
    const auto absurd = delay({ 1000, 1000, 1000, 1000000000, 1 });
    CHECK(absurd > 0 && absurd <= 60000);
}

TEST(EngineForecast, APromptOfUnknownLengthCountsAsTypical)
{
    LONGS_EQUAL(1000, forecastDelay({}, EngineReport {}, 0, pace).count());
}
