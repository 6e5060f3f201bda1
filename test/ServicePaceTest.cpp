#include "relay/ServicePace.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ServicePace)
{
    ServicePace pace;

    static void fill(Estimate & estimate, double value)
    {
        for (std::size_t i = 0; i < Estimate::fewestSamples; ++i)
            estimate.add(value, Milliseconds { 1 });
    }
};

TEST(ServicePace, StatesTheWaitsThatHoldBeforeAnythingHasBeenSeen)
{
    LONGS_EQUAL(75, pace.hedgeDelay().count());
    LONGS_EQUAL(170, pace.silenceBeforeProbe(Milliseconds { 170 }).count());
    LONGS_EQUAL_TEXT(1500, pace.silenceBeforeFirstEvent(5000).count(), "half as long again as the reading takes");
    LONGS_EQUAL(1000, readTime({ 5000, 0 }, pace.engine()).count());
}

TEST(ServicePace, WaitsLongerForEnginesThatAreSeenToBeSlower)
{
    fill(pace.eventInterval, 62);
    fill(pace.prefillTimePerToken, 0.4);
    LONGS_EQUAL(341, pace.silenceBeforeProbe(Milliseconds { 170 }).count());
    LONGS_EQUAL(3000, pace.silenceBeforeFirstEvent(5000).count());
    LONGS_EQUAL(2000, readTime({ 5000, 0 }, pace.engine()).count());
}

TEST(ServicePace, SendsACallAgainOnceMostHaveBeenAnswered)
{
    for (int i = 1; i <= 41; ++i)
        pace.callTime.add(i, Milliseconds { i });
    LONGS_EQUAL(39, pace.hedgeDelay().count());
}
