#include "endpoint/EndpointSignals.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointSignals)
{
    EndpointSignals signals;
    const Milliseconds now { 10'000 };
};

TEST(EndpointSignals, AcceptsUntilSomethingElseIsSaid) { CHECK(signals.accepts(now)); }

TEST(EndpointSignals, AcceptsAgainAtTheEndOfItsRest)
{
    CHECK(signals.noteBackOff(Milliseconds { 800 }, now));
    CHECK_FALSE(signals.accepts(now + Milliseconds { 799 }));
    CHECK(signals.accepts(now + Milliseconds { 800 }));
}

// Answers to requests that were under way together may ask for rests of different length.
TEST(EndpointSignals, KeepsTheLongestOfOverlappingRests)
{
    CHECK(signals.noteBackOff(Milliseconds { 3000 }, now));
    CHECK_FALSE(signals.noteBackOff(Milliseconds { 1000 }, now + Milliseconds { 10 }));
    LONGS_EQUAL((now + Milliseconds { 3000 }).count(), signals.backOffUntil().count());
    CHECK(signals.noteBackOff(Milliseconds { 3000 }, now + Milliseconds { 20 }));
}

TEST(EndpointSignals, TakesNoRestFromATimeOfZero)
{
    CHECK_FALSE(signals.noteBackOff(Milliseconds { 0 }, now));
    CHECK(signals.accepts(now));
}

TEST(EndpointSignals, NeverAcceptsAgainOnceItLeaves)
{
    CHECK(signals.noteLeaving());
    CHECK_FALSE(signals.noteLeaving());
    CHECK_FALSE(signals.accepts(now + Milliseconds { 1'000'000 }));
}

TEST(EndpointSignals, KeepsWhatWasKnownOfTheSameStart)
{
    EndpointSignals earlier;
    earlier.noteBackOff(Milliseconds { 500 }, now);
    earlier.noteLeaving();
    signals.merge(earlier);
    CHECK(signals.isLeaving() && signals.isInBackOff(now));
}
