#include "health/StallDetector.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(StallDetector)
{
    StallDetector detector;
    Milliseconds now { 5000 };

    void setup() override
    {
        for (int i = 0; i < 10; ++i)
            detector.noteTick(now += StallDetector::interval);
    }
};

// Guards against a frozen VM that, when it wakes up, takes its own pause for the silence of all endpoints.
TEST(StallDetector, SilenceCountsFromTheEndOfAStall)
{
    LONGS_EQUAL(0, detector.lastStallEnd(now).count());
    now += Milliseconds { 1200 };
    LONGS_EQUAL_TEXT(now.count(), detector.lastStallEnd(now).count(), "other timers may run before the tick");
    const auto stall = detector.noteTick(now);
    CHECK(stall.has_value());
    LONGS_EQUAL(1150, stall->count());
    const auto end = now;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(detector.noteTick(now += StallDetector::interval).has_value());
    LONGS_EQUAL(end.count(), detector.lastStallEnd(now).count());
}

// Guards against silence that is never noticed because a busy VM runs its timers somewhat late.
TEST(StallDetector, ATickThatIsSomewhatLateIsNoStall)
{
    now += StallDetector::interval + StallDetector::maxLateness;
    CHECK_FALSE(detector.noteTick(now).has_value());
    LONGS_EQUAL(0, detector.lastStallEnd(now).count());
}

TEST(StallDetector, BeforeTheFirstTickThereIsNoStall)
{
    StallDetector fresh;
    LONGS_EQUAL(0, fresh.lastStallEnd(now).count());
    CHECK_FALSE(fresh.noteTick(now).has_value());
}
