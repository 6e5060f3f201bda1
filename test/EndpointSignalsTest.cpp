#include "endpoint/EndpointSignals.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointSignals)
{
    EndpointSignals signals;
    const Milliseconds now { 10'000 };
};

TEST(EndpointSignals, AcceptsByDefault) { CHECK(signals.accepts(now)); }

TEST(EndpointSignals, AcceptsAgainAtEndOfBackOff)
{
    CHECK(signals.noteBackOff(Milliseconds { 800 }, now));
    CHECK_FALSE(signals.accepts(now + Milliseconds { 799 }));
    CHECK(signals.accepts(now + Milliseconds { 800 }));
}

// Answers to concurrent requests may request back-offs of different lengths.
TEST(EndpointSignals, KeepsLongestOfOverlappingBackOffs)
{
    CHECK(signals.noteBackOff(Milliseconds { 3000 }, now));
    CHECK_FALSE(signals.noteBackOff(Milliseconds { 1000 }, now + Milliseconds { 10 }));
    LONGS_EQUAL((now + Milliseconds { 3000 }).count(), signals.backOffUntil().count());
    CHECK(signals.noteBackOff(Milliseconds { 3000 }, now + Milliseconds { 20 }));
}

TEST(EndpointSignals, IgnoresBackOffOfZero)
{
    CHECK_FALSE(signals.noteBackOff(Milliseconds { 0 }, now));
    CHECK(signals.accepts(now));
}

TEST(EndpointSignals, NeverAcceptsAfterShutdownNotice)
{
    CHECK(signals.noteShuttingDown());
    CHECK_FALSE(signals.noteShuttingDown());
    CHECK_FALSE(signals.accepts(now + Milliseconds { 1'000'000 }));
}

TEST(EndpointSignals, MergeKeepsEarlierSignalsOfSameIncarnation)
{
    EndpointSignals earlier;
    earlier.noteBackOff(Milliseconds { 500 }, now);
    earlier.noteShuttingDown();
    signals.merge(earlier);
    CHECK(signals.isShuttingDown() && signals.isInBackOff(now));
}
