#include "placement/EnginePaces.h"
#include "placement/EventGaps.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EnginePaces)
{
    EnginePaces paces;
    Milliseconds now { 100000 };

    static SocketAddress engine(int number) { return { "10.0.0." + std::to_string(number), 9000 }; }

    // Runs of 12 engines, a third of which are slow: 0.7 and 1.7 of the usual 28 ms.
    void runAll(int runsOfEach)
    {
        for (int run = 0; run < runsOfEach; ++run) {
            for (int i = 0; i < 12; ++i)
                paces.noteRun("s", engine(i), i % 3 == 0 ? 47.6 : 19.6, now);
        }
    }

    double paceOf(int number) const { return paces.paceOf("s", engine(number), now); }

    // The interval that a run of 140 events shows whose engine is slow from the first time to the second one.
    static std::optional<double> intervalOfRun(int slowFrom, int slowUntil, int events = 140)
    {
        EventGaps gaps;
        double at = 0;
        for (int i = 0; i < events; ++i) {
            gaps.add(1, Milliseconds { static_cast<std::int64_t>(at) });
            at += at >= slowFrom && at < slowUntil ? 70 : 28;
        }
        return gaps.shortestTenth();
    }
};

TEST(EnginePaces, DistinguishesEnginesAt0Point7And1Point7OfTheUsualTime)
{
    runAll(2);
    DOUBLES_EQUAL(1.0, paceOf(1), 0.01);
    DOUBLES_EQUAL(1.7 / 0.7, paceOf(3), 0.02);
}

TEST(EnginePaces, AnUnknownEngineHasThePaceOfItsService)
{
    runAll(2);
    DOUBLES_EQUAL(1.0, paceOf(200), 0);
    DOUBLES_EQUAL(1.0, paces.paceOf("other", engine(3), now), 0);
}

// A shared machine makes an engine 2.5 times slower for half a second.
TEST(EnginePaces, AnEngineThatWasSlowForHalfASecondIsNotRememberedAsSlow)
{
    runAll(2);
    for (const int events : { 20, 40, 140 }) {
        const auto interval = intervalOfRun(0, 500, events);
        CHECK(interval.has_value());
        DOUBLES_EQUAL(28, *interval, 0.5);
    }
    CHECK_TEXT(!intervalOfRun(0, 500, 19), "a run this short says nothing about its engine");
}

TEST(EnginePaces, PrefillsOfOtherPromptsDoNotMakeAnEngineSlow)
{
    EventGaps gaps;
    Milliseconds at { 0 };
    for (int i = 0; i < 100; ++i) {
        gaps.add(1, at);
        at += Milliseconds { i % 5 == 0 ? 28 : 128 };
    }
    DOUBLES_EQUAL(28, *gaps.shortestTenth(), 0.5);
}

// Events that arrived together have gaps of 0 ms, which are not the engine's.
TEST(EnginePaces, EventsThatTheNetworkJoinedAreNoSignOfAFastEngine)
{
    EventGaps gaps;
    for (int i = 0; i < 40; ++i)
        gaps.add(2, Milliseconds { 56 * i });
    DOUBLES_EQUAL(28, *gaps.shortestTenth(), 0.5);
}

TEST(EnginePaces, OneOutlierDoesNotChangeAnEngine)
{
    runAll(3);
    paces.noteRun("s", engine(1), 90, now);
    DOUBLES_EQUAL(1.0, paceOf(1), 0.01);
}

// An engine that restarts may be on another machine.
TEST(EnginePaces, AnEngineThatReturnsAtItsAddressWithAnotherSpeedIsLearnedAgain)
{
    runAll(5);
    for (int run = 0; run < 3; ++run)
        paces.noteRun("s", engine(3), 19.6, now);
    DOUBLES_EQUAL(1.0, paceOf(3), 0.01);
}

TEST(EnginePaces, SamplesDecayTowardsThePaceOfTheService)
{
    runAll(2);
    const auto fresh = paceOf(3) - 1;
    now += EnginePaces::decayTime;
    DOUBLES_EQUAL(fresh / 2.718, paceOf(3) - 1, 0.01);
    now += 10 * EnginePaces::decayTime;
    DOUBLES_EQUAL(1.0, paceOf(3), 0.01);
}

TEST(EnginePaces, IgnoresIntervalsThatAreNoNumbers)
{
    for (const double interval : { 0.0, -1.0, 1e9, std::numeric_limits<double>::quiet_NaN() })
        paces.noteRun("s", engine(1), interval, now);
    LONGS_EQUAL(0, paces.size());
}

// Engines that move to other addresses would fill the memory.
TEST(EnginePaces, TheStateIsBoundedAndTheOldestEnginesGoFirst)
{
    for (int i = 0; i < 60000; ++i)
        paces.noteRun("s", { "10.1.0.1", 1 + i }, 28, now + Milliseconds { i });
    CHECK(paces.size() <= EnginePaces::maxEngines);
    CHECK_TEXT(paces.size() >= 20000, "20,000 endpoints must have room");
    paces.noteRun("s", { "10.1.0.1", 60001 }, 56, now + Milliseconds { 60000 });
    CHECK(paces.paceOf("s", { "10.1.0.1", 60001 }, now + Milliseconds { 60000 }) > 1);
}
