#include "quarantine/Quarantine.h"
#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Quarantine)
{
    static constexpr Milliseconds start { 1000 };

    Quarantine quarantine;

    bool add(const std::string& id, double weight = fullSuspicion, Milliseconds now = start, bool isShared = false)
    {
        return quarantine.add({ "d", id, "at " + id, weight }, now, isShared);
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
    CHECK(quarantine.heldUntil("d") == start + Quarantine::holdTime);
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
        quarantine.add({ "d", "e" + std::to_string(i), "same", fullSuspicion }, start, false);
    CHECK_FALSE(quarantine.isHeld("d", start));
    quarantine.add({ "d", "e4", "same", fullSuspicion }, start, false);
    CHECK(quarantine.isHeld("d", start));
}

TEST(Quarantine, LetsARequestInAgainAndHoldsItAtItsNextEnd)
{
    addFull(3);
    const auto later = start + Quarantine::holdTime;
    CHECK_FALSE(quarantine.isHeld("d", later));
    add("e9", fullSuspicion, later);
    CHECK(quarantine.isHeld("d", later));
}

TEST(Quarantine, ForgetsOldRecords)
{
    addFull(3);
    quarantine.forgetOld(start + Quarantine::recordTime - Milliseconds { 1 });
    CHECK(quarantine.isSuspect("d"));
    quarantine.forgetOld(start + Quarantine::recordTime);
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

TEST(Quarantine, KeepsOnlySoManyInMind)
{
    for (std::size_t i = 0; i < Quarantine::mostSuspects + 5; ++i)
        quarantine.add({ std::to_string(i), "e", "a", fullSuspicion }, start + Milliseconds { 1 } * i, false);
    LONGS_EQUAL(Quarantine::mostSuspects, quarantine.suspectCount());
    CHECK_FALSE_TEXT(quarantine.isSuspect("0"), "the one that has been quiet for longest goes");
    for (std::size_t i = 0; i < 2 * Quarantine::mostRecordsOfOne; ++i)
        add("e" + std::to_string(i));
    LONGS_EQUAL(Quarantine::mostRecordsOfOne, quarantine.takeUnshared("d").size());
}
