#include "quarantine/Quarantine.h"
#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Quarantine)
{
    static constexpr Milliseconds start { 1000 };

    // The first of the VMs to end its holds.
    Quarantine quarantine { "" };

    bool add(const std::string& id, double weight = fullSuspicion, Milliseconds now = start, bool isShared = false)
    {
        return quarantine.add({ "d", id, "at " + id, weight, Milliseconds { 60 } }, now, isShared);
    }

    void addFull(int count)
    {
        for (int i = 0; i < count; ++i)
            add("e" + std::to_string(i));
    }
};

TEST(Quarantine, HoldsARequestFromTheThirdEndpointOn)
{
    addFull(2);
    CHECK_FALSE(quarantine.isHeld("d", start));
    CHECK(quarantine.wouldBeHeld("d", fullSuspicion));
    addFull(3);
    CHECK(quarantine.isHeld("d", start));
    CHECK_FALSE(quarantine.isHeld("another", start));
    CHECK(quarantine.heldUntil("d") >= start + Quarantine::firstHold);
    CHECK(quarantine.heldUntil("d") <= start + Quarantine::firstHold + Quarantine::holdSpread);
}

TEST(Quarantine, TwoHalfSuspicionsCountAsOne)
{
    for (int i = 0; i < 5; ++i)
        add("e" + std::to_string(i), halfSuspicion);
    CHECK_FALSE(quarantine.isHeld("d", start));
    add("e5", halfSuspicion);
    CHECK(quarantine.isHeld("d", start));
}

TEST(Quarantine, CountsEachStartOfAnEndpointOnceWhoeverTellsOfIt)
{
    CHECK(add("e1"));
    CHECK_FALSE(add("e1", fullSuspicion, start, true));
    add("e2");
    CHECK_FALSE(quarantine.isHeld("d", start));
}

TEST(Quarantine, AnEndpointThatEndsAgainAndAgainCountsHalfFromItsSecondTimeOn)
{
    for (int i = 0; i < 4; ++i)
        quarantine.add({ "d", "e" + std::to_string(i), "same", fullSuspicion, Milliseconds { 60 } }, start, false);
    CHECK_FALSE(quarantine.isHeld("d", start));
    quarantine.add({ "d", "e4", "same", fullSuspicion, Milliseconds { 60 } }, start, false);
    CHECK(quarantine.isHeld("d", start));
}

TEST(Quarantine, LetsARequestInAgainAsATrialOneAtATime)
{
    addFull(3);
    CHECK_FALSE(quarantine.admit("d", start));
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.admit("d", later));
    CHECK_FALSE(quarantine.admit("d", later));
    CHECK_FALSE_TEXT(quarantine.isHeld("d", later), "the trial itself goes on");
    CHECK_TEXT(quarantine.admit("d", later + Quarantine::longestTrial), "a trial of which nothing is heard is over");
}

TEST(Quarantine, HoldsARequestForLongWhoseTrialHasEndedItsEndpoint)
{
    addFull(3);
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.isOnTrial("d", later));
    quarantine.add({ "d", "e9", "at e9", fullSuspicion, Milliseconds { 60 }, true }, later, false);
    CHECK(quarantine.heldUntil("d") == later + Quarantine::longHold);
}

TEST(Quarantine, ARequestThatWasServedOnTrialIsFree)
{
    addFull(3);
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.admit("d", later));
    quarantine.clear("d");
    CHECK(quarantine.admit("d", later));
    CHECK(quarantine.admit("d", later));
}

// A VM that starts again reads all records at once.
TEST(Quarantine, KnowsFromTheRecordsThatATrialHasFailed)
{
    quarantine.add({ "d", "e9", "at e9", fullSuspicion, Milliseconds { 60 }, true }, start, true);
    addFull(3);
    CHECK(quarantine.heldUntil("d") == start + Quarantine::longHold);
}

TEST(Quarantine, VmsEndTheirHoldsOneAfterTheOther)
{
    Quarantine another { "edge-2" };
    addFull(3);
    for (int i = 0; i < 3; ++i)
        another.add({ "d", "e" + std::to_string(i), "at " + std::to_string(i), fullSuspicion, {} }, start, true);
    CHECK(another.heldUntil("d") != quarantine.heldUntil("d"));
}

TEST(Quarantine, ForgetsOldRecords)
{
    addFull(3);
    quarantine.forgetOld(start + Quarantine::recordLifetime - Milliseconds { 1 });
    CHECK(quarantine.isSuspect("d"));
    quarantine.forgetOld(start + Quarantine::recordLifetime);
    CHECK_FALSE(quarantine.isSuspect("d"));
}

TEST(Quarantine, ARequestThatHasBeenServedIsFree)
{
    addFull(3);
    quarantine.clear("d");
    CHECK_FALSE(quarantine.isHeld("d", start));
    CHECK_FALSE(quarantine.isSuspect("d"));
}

TEST(Quarantine, TellsOtherVmsOnceAndOnlyOfWhatAmountsToAFullSuspicion)
{
    add("e1", halfSuspicion);
    LONGS_EQUAL_TEXT(0, quarantine.takeUnshared("d").size(), "half suspicions are mostly chance");
    add("e2", halfSuspicion);
    LONGS_EQUAL(2, quarantine.takeUnshared("d").size());
    LONGS_EQUAL(0, quarantine.takeUnshared("d").size());
    add("e3", fullSuspicion, start, true);
    LONGS_EQUAL_TEXT(0, quarantine.takeUnshared("d").size(), "what another VM has told need not be told again");
}

TEST(Quarantine, TakesBackWhatWouldSoonHoldARequestThatHasBeenServed)
{
    addFull(1);
    quarantine.takeUnshared("d");
    LONGS_EQUAL_TEXT(0, quarantine.clear("d").size(), "one record holds nothing");
    addFull(2);
    quarantine.takeUnshared("d");
    LONGS_EQUAL(2, quarantine.clear("d").size());
}

TEST(Quarantine, ARecordThatAnotherVmTakesBackCountsNoMore)
{
    addFull(3);
    quarantine.remove("d", "e1");
    CHECK_FALSE(quarantine.isHeld("d", start));
}

// Found by the soak, seed 210: all callers asked for the same, three engines ended at one instant under three of them,
// and nobody was served for 20 s.
TEST(Quarantine, RunsSideBySideThatAreLostTogetherCountAsOne)
{
    for (int i = 0; i < 5; ++i) {
        const auto id = "e" + std::to_string(i);
        quarantine.add(
            { "d", id, "at " + id, fullSuspicion, Milliseconds { 206 }, false, 1000 + i, 2000 + i }, start, i > 2);
    }
    CHECK_FALSE(quarantine.isHeld("d", start));
}

TEST(Quarantine, RunsOneAfterTheOtherCountEachHoweverQuick)
{
    for (int i = 0; i < 3; ++i) {
        const auto id = "e" + std::to_string(i);
        const int sentAt = 1000 + 10 * i;
        quarantine.add(
            { "d", id, "at " + id, fullSuspicion, Milliseconds { 9 }, false, sentAt, sentAt + 9 }, start, false);
    }
    CHECK(quarantine.isHeld("d", start));
}

// A VM that starts again hears of old ends: the hold ends when it would have ended.
TEST(Quarantine, IsHeldFromTheLastEndOnWhateverIsHeardLater)
{
    add("e3", fullSuspicion, start + Milliseconds { 300 }, true);
    add("e1", fullSuspicion, start, true);
    add("e2", fullSuspicion, start + Milliseconds { 100 }, true);
    const auto until = quarantine.heldUntil("d");
    CHECK(until >= start + Milliseconds { 300 } + Quarantine::firstHold);
    CHECK(until <= start + Milliseconds { 300 } + Quarantine::firstHold + Quarantine::holdSpread);
}

TEST(Quarantine, KeepsOnlySoManyInMind)
{
    for (std::size_t i = 0; i < Quarantine::mostSuspects + 5; ++i)
        quarantine.add(
            { std::to_string(i), "e", "a", fullSuspicion, Milliseconds { 60 } }, start + Milliseconds { 1 } * i, false);
    LONGS_EQUAL(Quarantine::mostSuspects, quarantine.suspectCount());
    CHECK_FALSE_TEXT(quarantine.isSuspect("0"), "the one that has been quiet for longest goes");
    for (std::size_t i = 0; i < 2 * Quarantine::mostRecordsOfOne; ++i)
        add("e" + std::to_string(i));
    LONGS_EQUAL(Quarantine::mostRecordsOfOne, quarantine.takeUnshared("d").size());
}
