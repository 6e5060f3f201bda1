#include "quarantine/Quarantine.h"
#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <iterator>

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

    // Fills `vm` with records that do not end a trial, all of them lost at `start`, so that the request is held.
    static void fillRecords(Quarantine & vm)
    {
        for (std::size_t i = 0; i < Quarantine::maxRecordsPerSuspect; ++i) {
            const auto id = "full" + std::to_string(i);
            vm.add({ "d", id, "at " + id, fullSuspicion, Milliseconds { 60 } }, start, true);
        }
    }

    static bool addTrialLoss(Quarantine & vm, const std::string& id, Milliseconds at, bool isShared = false)
    {
        return vm.add({ "d", id, "at " + id, fullSuspicion, Milliseconds { 60 }, true }, at, isShared);
    }

    // Fills `vm` also with records that end a trial, all of them lost at `start`. The request is held for long.
    static void fillTrialRecords(Quarantine & vm)
    {
        fillRecords(vm);
        for (std::size_t i = 0; i < Quarantine::maxTrialRecordsPerSuspect; ++i)
            addTrialLoss(vm, "trial" + std::to_string(i), start, true);
    }

    // Returns how many endpoints a request that crashes each of them reaches within 120 s of its first hold. It is sent
    // to all VMs all the time, and each VM has as many records as it stores.
    static int sendsOfCrashingRequest(std::size_t vmCount)
    {
        struct Arrival {
            Milliseconds at;
            CrashRecord record;
            bool isOwn;
        };
        struct Vm {
            Quarantine quarantine;
            // Losses until they are evaluated, and records of other VMs until they are received.
            std::vector<Arrival> arrivals;
        };
        constexpr Milliseconds duration { 120'000 };
        constexpr Milliseconds step { 10 };
        constexpr Milliseconds crashTime { 100 };
        constexpr Milliseconds evaluationTime { 500 };
        constexpr Milliseconds feedTime { 800 };
        std::vector<Vm> vms;
        for (std::size_t i = 0; i < vmCount; ++i) {
            vms.push_back({ Quarantine("vm" + std::to_string(i)), {} });
            fillRecords(vms.back().quarantine);
        }
        int sends = 0;
        for (auto now = start; now < start + duration; now += step) {
            for (auto& vm : vms) {
                const auto isDue = [now](const Arrival& arrival) { return arrival.at <= now; };
                std::vector<Arrival> due;
                std::copy_if(vm.arrivals.begin(), vm.arrivals.end(), std::back_inserter(due), isDue);
                std::erase_if(vm.arrivals, isDue);
                for (auto& [at, record, isOwn] : due) {
                    if (isOwn)
                        record.endsTrial = vm.quarantine.isOnTrial("d", now);
                    vm.quarantine.add(record, Milliseconds { record.lostAt }, !isOwn);
                }
                const auto unsharedRecords
                    = due.empty() ? std::vector<CrashRecord> {} : vm.quarantine.takeUnshared("d");
                for (const auto& unshared : unsharedRecords) {
                    for (auto& other : vms) {
                        if (&other != &vm)
                            other.arrivals.push_back({ now + feedTime, unshared, false });
                    }
                }
                if (!vm.quarantine.admit("d", now))
                    continue;
                const auto id = "sent" + std::to_string(sends++);
                const auto lostAt = now + crashTime;
                const CrashRecord lost { "d", id, "at " + id, fullSuspicion, crashTime, false, now.count(),
                    lostAt.count() };
                vm.arrivals.push_back({ lostAt + evaluationTime, lost, true });
            }
        }
        return sends;
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

// While the list of endpoints is not updated, an engine that has started again under its name crashed any number of
// times under a request and counted once.
TEST(Quarantine, ACrashAfterARestartUnderTheSameNameCounts)
{
    for (int i = 0; i < 5; ++i) {
        const auto sentAt = start + Milliseconds { i * 1000 };
        const auto lostAt = sentAt + Milliseconds { 60 };
        const auto name = quarantine.crashName("d", "e1", sentAt);
        CHECK(quarantine.add(
            { "d", name, "at e1", fullSuspicion, Milliseconds { 60 }, false, sentAt.count(), lostAt.count() }, lostAt,
            false));
        // Another run of the request that was lost with the endpoint.
        STRCMP_EQUAL(name.c_str(), quarantine.crashName("d", "e1", sentAt).c_str());
    }
    CHECK(quarantine.isHeld("d", start + Milliseconds { 4060 }));
}

// A run that waited at an engine was lost together with the one that crashed it, and only the first of the two records
// counted, by half.
TEST(Quarantine, TheHeaviestLossAtAnEndpointCounts)
{
    for (int i = 0; i < 3; ++i) {
        add("e" + std::to_string(i), halfSuspicion, start, false);
        CHECK(add("e" + std::to_string(i), fullSuspicion, start, false));
        CHECK_FALSE(add("e" + std::to_string(i), halfSuspicion, start, false));
    }
    CHECK(quarantine.isHeld("d", start));
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
    quarantine.clear("d", start);
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
    quarantine.clear("d", start);
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
    LONGS_EQUAL_TEXT(0, quarantine.clear("d", start).size(), "a single record is far from holding the request");
    addFull(2);
    quarantine.takeUnshared("d");
    LONGS_EQUAL(2, quarantine.clear("d", start).size());
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

// Callers that returned at once had a request running at many engines all the time. Each loss counted as concurrent
// with the one before, so that three counted within 1.2 s, and the records of two filled the room for 16: the request
// was not held and crashed 1,749 engines on 88 VMs.
TEST(Quarantine, OverlappingRunsLostOneAfterTheOtherCountSeparately)
{
    for (int i = 0; i < 3; ++i) {
        const auto id = "e" + std::to_string(i);
        const int lostAt = 2000 + 60 * i;
        quarantine.add({ "d", id, "at " + id, fullSuspicion, Milliseconds { 60 }, false, lostAt - 1400, lostAt, "a" },
            start, i > 0);
    }
    CHECK(quarantine.isHeld("d", start));
}

TEST(Quarantine, SimultaneousLossesInDifferentZonesCountSeparately)
{
    for (int i = 0; i < 3; ++i) {
        const auto id = "e" + std::to_string(i);
        quarantine.add({ "d", id, "at " + id, fullSuspicion, Milliseconds { 60 }, false, 600, 2000,
                           std::string(1, static_cast<char>('a' + i)) },
            start, i > 0);
    }
    CHECK(quarantine.isHeld("d", start));
}

// VMs notice the silence of a zone's engines within some hundred milliseconds.
TEST(Quarantine, EnginesOfAZoneThatBecomeSilentCountAsOne)
{
    for (int i = 0; i < 5; ++i) {
        const auto id = "e" + std::to_string(i);
        quarantine.add(
            { "d", id, "at " + id, fullSuspicion, Milliseconds { 60 }, false, 600, 2000 + 90 * i, "a", true }, start,
            i > 0);
    }
    CHECK_FALSE(quarantine.isHeld("d", start));
}

TEST(Quarantine, ConcurrentLossesDoNotUseUpTheRecords)
{
    const auto addLoss = [this](std::size_t number, int lostAt) {
        const auto id = "e" + std::to_string(number);
        quarantine.add({ "d", id, "at " + id, fullSuspicion, Milliseconds { 60 }, false, lostAt - 1400, lostAt, "a" },
            start, true);
    };
    for (std::size_t i = 0; i < Quarantine::maxRecordsPerSuspect; ++i)
        addLoss(i, 2000);
    CHECK_FALSE(quarantine.isHeld("d", start));
    addLoss(100, 3000);
    addLoss(101, 4000);
    CHECK(quarantine.isHeld("d", start));
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

// Guards against dropping the loss of a trial because other losses have used up the request's records: the long hold
// never began.
TEST(Quarantine, FailedTrialIsNotDroppedWhenRecordsAreFull)
{
    fillRecords(quarantine);
    const auto later = quarantine.heldUntil("d");
    CHECK_TEXT(addTrialLoss(quarantine, "e9", later), "the loss of the trial was dropped");
    CHECK(quarantine.heldUntil("d") == later + Quarantine::longHold);
    LONGS_EQUAL_TEXT(1, quarantine.takeUnshared("d").size(), "other VMs do not receive the loss of the trial");
}

// Guards against a failed trial that goes unnoticed, and lets its call go on to the next endpoint, because earlier
// trials have used up the records as well.
TEST(Quarantine, FailedTrialRenewsHoldWhenTrialRecordsAreFullToo)
{
    fillTrialRecords(quarantine);
    const auto later = quarantine.heldUntil("d");
    CHECK(quarantine.isOnTrial("d", later));
    CHECK_TEXT(addTrialLoss(quarantine, "e9", later), "the loss of the trial was dropped");
    CHECK(quarantine.isHeld("d", later));
    CHECK(quarantine.heldUntil("d") == later + Quarantine::longHold);
    LONGS_EQUAL_TEXT(0, quarantine.takeUnshared("d").size(), "more records were stored than are allowed");
}

// Guards against a trial that goes unnoticed because it lost an endpoint that has not restarted since an earlier loss.
TEST(Quarantine, FailedTrialRenewsHoldAtKnownEndpoint)
{
    addFull(3);
    const auto later = quarantine.heldUntil("d");
    CHECK_TEXT(addTrialLoss(quarantine, "e1", later), "the loss of the trial was dropped");
    CHECK(quarantine.heldUntil("d") == later + Quarantine::longHold);
    const auto evenLater = quarantine.heldUntil("d");
    CHECK_FALSE_TEXT(addTrialLoss(quarantine, "e1", evenLater, true), "a known loss was counted again");
    CHECK_TEXT(addTrialLoss(quarantine, "e1", evenLater), "the loss of the next trial was dropped");
    CHECK(quarantine.heldUntil("d") == evenLater + Quarantine::longHold);
}

// Guards against a hold that ends early: the failed trial that renewed it had no room for its record, and all stored
// records expired.
TEST(Quarantine, RenewedHoldOutlastsStoredRecords)
{
    fillTrialRecords(quarantine);
    const auto later = start + Quarantine::recordLifetime - Milliseconds { 1 };
    addTrialLoss(quarantine, "e9", later);
    quarantine.forgetOld(start + Quarantine::recordLifetime);
    CHECK(quarantine.isHeld("d", start + Quarantine::recordLifetime));
    quarantine.forgetOld(later + Quarantine::longHold);
    CHECK_FALSE(quarantine.isSuspect("d"));
}

// Guards against repeated trials: each VM sent the request every 10 to 30 s when the losses of trials were dropped.
TEST(Quarantine, CrashingRequestIsNotTriedAgainAndAgainWhenRecordsAreFull)
{
    // The first trial crashes its endpoint after 100 ms; the loss is evaluated after 500 ms and reported after 800 ms.
    constexpr Milliseconds timeUntilKnown { 1400 };
    for (const std::size_t vmCount : { 6, 88 }) {
        std::vector<Milliseconds> holdEnds;
        for (std::size_t i = 0; i < vmCount; ++i) {
            Quarantine vm { "vm" + std::to_string(i) };
            fillRecords(vm);
            holdEnds.push_back(vm.heldUntil("d"));
        }
        const auto knownAt = *std::min_element(holdEnds.begin(), holdEnds.end()) + timeUntilKnown;
        const auto trials = std::count_if(
            holdEnds.begin(), holdEnds.end(), [knownAt](Milliseconds holdEnd) { return holdEnd < knownAt; });
        LONGS_EQUAL(vmCount == 6 ? 1 : 9, trials);
        LONGS_EQUAL(trials, sendsOfCrashingRequest(vmCount));
    }
}

// Guards against a hold of ten minutes because an endpoint paused during the trial.
TEST(Quarantine, WithdrawnLossOfATrialEndsTheLongHold)
{
    addFull(3);
    const auto trialAt = quarantine.heldUntil("d");
    CHECK(addTrialLoss(quarantine, "trial", trialAt));
    CHECK(quarantine.isHeld("d", trialAt + Quarantine::firstHold + Quarantine::holdSpread));
    CHECK(quarantine.withdraw("d", "trial", trialAt + Milliseconds { 1 }));
    CHECK_FALSE(quarantine.isHeld("d", trialAt));
    CHECK(quarantine.isOnTrial("d", trialAt));
    CHECK(quarantine.isWithdrawn("d", "trial", trialAt));
    CHECK_FALSE(quarantine.isWithdrawn("d", "trial", trialAt + Milliseconds { 2 }));
}
