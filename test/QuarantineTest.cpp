#include "quarantine/Quarantine.h"
#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Quarantine)
{
    static constexpr Milliseconds start { 1000 };

    // The VM whose holds end first.
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

TEST(Quarantine, HoldsRequestAfterThirdLostEndpoint)
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

TEST(Quarantine, CountsEachEndpointIncarnationOnce)
{
    CHECK(add("e1"));
    CHECK_FALSE(add("e1", fullSuspicion, start, true));
    add("e2");
    CHECK_FALSE(quarantine.isHeld("d", start));
}

TEST(Quarantine, RepeatedCrashesAtOneAddressCountHalf)
{
    for (int i = 0; i < 4; ++i)
        quarantine.add({ "d", "e" + std::to_string(i), "same", fullSuspicion, Milliseconds { 60 } }, start, false);
    CHECK_FALSE(quarantine.isHeld("d", start));
    quarantine.add({ "d", "e4", "same", fullSuspicion, Milliseconds { 60 } }, start, false);
    CHECK(quarantine.isHeld("d", start));
}

TEST(Quarantine, AdmitsOneTrialAtATimeAfterHold)
{
    addFull(3);
    CHECK_FALSE(quarantine.admit("d", start));
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.admit("d", later));
    CHECK_FALSE(quarantine.admit("d", later));
    CHECK_FALSE_TEXT(quarantine.isHeld("d", later), "the trial itself may continue");
    CHECK_TEXT(quarantine.admit("d", later + Quarantine::maxTrialTime), "a trial without a result counts as ended");
}

TEST(Quarantine, FailedTrialCausesLongHold)
{
    addFull(3);
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.isOnTrial("d", later));
    quarantine.add({ "d", "e9", "at e9", fullSuspicion, Milliseconds { 60 }, true }, later, false);
    CHECK(quarantine.heldUntil("d") == later + Quarantine::longHold);
}

TEST(Quarantine, SuccessfulTrialClearsRequest)
{
    addFull(3);
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.admit("d", later));
    quarantine.clear("d");
    CHECK(quarantine.admit("d", later));
    CHECK(quarantine.admit("d", later));
}

// A VM that restarts reads all records at once.
TEST(Quarantine, LearnsOfFailedTrialFromRecords)
{
    quarantine.add({ "d", "e9", "at e9", fullSuspicion, Milliseconds { 60 }, true }, start, true);
    addFull(3);
    CHECK(quarantine.heldUntil("d") == start + Quarantine::longHold);
}

TEST(Quarantine, HoldsOfDifferentVmsEndAtDifferentTimes)
{
    Quarantine another { "edge-2" };
    addFull(3);
    for (int i = 0; i < 3; ++i)
        another.add({ "d", "e" + std::to_string(i), "at " + std::to_string(i), fullSuspicion, {} }, start, true);
    CHECK(another.heldUntil("d") != quarantine.heldUntil("d"));
}

TEST(Quarantine, RemovesOldRecords)
{
    addFull(3);
    quarantine.forgetOld(start + Quarantine::recordLifetime - Milliseconds { 1 });
    CHECK(quarantine.isSuspect("d"));
    quarantine.forgetOld(start + Quarantine::recordLifetime);
    CHECK_FALSE(quarantine.isSuspect("d"));
}

TEST(Quarantine, ServedRequestIsCleared)
{
    addFull(3);
    quarantine.clear("d");
    CHECK_FALSE(quarantine.isHeld("d", start));
    CHECK_FALSE(quarantine.isSuspect("d"));
}

TEST(Quarantine, SharesRecordsOnceFromFullSuspicionOn)
{
    add("e1", halfSuspicion);
    LONGS_EQUAL_TEXT(
        0, quarantine.takeUnshared("d").size(), "a single half suspicion is probably chance and is not shared");
    add("e2", halfSuspicion);
    LONGS_EQUAL(2, quarantine.takeUnshared("d").size());
    LONGS_EQUAL(0, quarantine.takeUnshared("d").size());
    add("e3", fullSuspicion, start, true);
    LONGS_EQUAL_TEXT(0, quarantine.takeUnshared("d").size(), "a record from another VM need not be sent again");
}

TEST(Quarantine, WithdrawsSharedRecordsOnlyNearHoldThreshold)
{
    addFull(1);
    quarantine.takeUnshared("d");
    LONGS_EQUAL_TEXT(0, quarantine.clear("d").size(), "a single record is far from holding the request");
    addFull(2);
    quarantine.takeUnshared("d");
    LONGS_EQUAL(2, quarantine.clear("d").size());
}

TEST(Quarantine, WithdrawnRecordNoLongerCounts)
{
    addFull(3);
    quarantine.remove("d", "e1");
    CHECK_FALSE(quarantine.isHeld("d", start));
}

// Concurrent runs of the same request by many callers: three engines crashed at one instant under three of them, the
// request was held, and no caller was served for 20 s.
TEST(Quarantine, ConcurrentRunsLostTogetherCountAsOne)
{
    for (int i = 0; i < 5; ++i) {
        const auto id = "e" + std::to_string(i);
        quarantine.add(
            { "d", id, "at " + id, fullSuspicion, Milliseconds { 206 }, false, 1000 + i, 2000 + i }, start, i > 2);
    }
    CHECK_FALSE(quarantine.isHeld("d", start));
}

TEST(Quarantine, ConsecutiveRunsCountSeparately)
{
    for (int i = 0; i < 3; ++i) {
        const auto id = "e" + std::to_string(i);
        const int sentAt = 1000 + 10 * i;
        quarantine.add(
            { "d", id, "at " + id, fullSuspicion, Milliseconds { 9 }, false, sentAt, sentAt + 9 }, start, false);
    }
    CHECK(quarantine.isHeld("d", start));
}

// A VM that restarts receives records of old crashes: the hold ends when it would have ended without the restart.
TEST(Quarantine, HoldStartsAtLatestLossWhateverTheOrderOfRecords)
{
    add("e3", fullSuspicion, start + Milliseconds { 300 }, true);
    add("e1", fullSuspicion, start, true);
    add("e2", fullSuspicion, start + Milliseconds { 100 }, true);
    const auto until = quarantine.heldUntil("d");
    CHECK(until >= start + Milliseconds { 300 } + Quarantine::firstHold);
    CHECK(until <= start + Milliseconds { 300 } + Quarantine::firstHold + Quarantine::holdSpread);
}

TEST(Quarantine, BoundsSuspectsAndRecords)
{
    for (std::size_t i = 0; i < Quarantine::maxSuspects + 5; ++i)
        quarantine.add(
            { std::to_string(i), "e", "a", fullSuspicion, Milliseconds { 60 } }, start + Milliseconds { 1 } * i, false);
    LONGS_EQUAL(Quarantine::maxSuspects, quarantine.suspectCount());
    CHECK_FALSE_TEXT(quarantine.isSuspect("0"), "the suspect with the oldest last crash should be removed");
    for (std::size_t i = 0; i < 2 * Quarantine::maxRecordsPerSuspect; ++i)
        add("e" + std::to_string(i));
    LONGS_EQUAL(Quarantine::maxRecordsPerSuspect, quarantine.takeUnshared("d").size());
}
