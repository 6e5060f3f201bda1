#include "copies/CopyRenewal.h"
#include "model/CopyModel.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(CopyRenewal)
{
    const CopyHolderState healthy {};
    const CopyHolderState inFailedZone { .hasZoneFailed = true };
    CopyRenewalSettings settings { .copyOrderSpread = Milliseconds { 0 } };
    // A run with a growing copy, some seconds before its end.
    CopiedRun run { .hasEvent = true,
        .mayRunAgain = true,
        .timeLeft = Milliseconds { 6000 },
        .handleTime = Milliseconds { 4000 },
        .growing = healthy };

    CopyAction actionAt(CopyRenewal & renewal, int now) { return renewal.decide(run, Milliseconds { now }).action; }
    CopyAction firstAction() const { return CopyRenewal(settings, 0.5).decide(run, Milliseconds { 1000 }).action; }
};

// Guards against a run that goes on without a copy after the zone of its growing copy has failed.
TEST(CopyRenewal, OrdersACopyWhenTheHoldersZoneHasFailed)
{
    CHECK(firstAction() == CopyAction::None);
    run.growing = inFailedZone;
    CopyRenewal renewal(settings, 0.5);
    const auto decision = renewal.decide(run, Milliseconds { 1000 });
    CHECK(decision.action == CopyAction::Order && decision.loss == CopyLoss::ZoneFailed && decision.isNewLoss);
    CHECK_TEXT(!renewal.decide(run, Milliseconds { 1100 }).isNewLoss, "a loss must be reported once");
}

TEST(CopyRenewal, OrdersACopyForEachWayToLoseOne)
{
    for (const CopyHolderState& lost : { CopyHolderState { .isRemoved = true },
             CopyHolderState { .isShuttingDown = true }, CopyHolderState { .isRemoved = true, .isReplaced = true } }) {
        run.growing = lost;
        CHECK(firstAction() == CopyAction::Order);
    }
    run.growing.reset();
    CHECK(firstAction() == CopyAction::Order);
}

// Guards against copies that cost links and memory although they cannot be used.
TEST(CopyRenewal, OrdersNoCopyThatWouldBeOfNoUse)
{
    run.growing = inFailedZone;
    auto other = run;
    other.hasEvent = false;
    CHECK(CopyRenewal(settings, 0).decide(other, Milliseconds { 0 }).action == CopyAction::None);
    other = run;
    other.mayRunAgain = false;
    CHECK(CopyRenewal(settings, 0).decide(other, Milliseconds { 0 }).action == CopyAction::None);
    other = run;
    other.isSourceUsable = false;
    CHECK(CopyRenewal(settings, 0).decide(other, Milliseconds { 0 }).action == CopyAction::None);
    other = run;
    other.timeLeft = settings.minTimeLeftForCopy - Milliseconds { 1 };
    CHECK(CopyRenewal(settings, 0).decide(other, Milliseconds { 0 }).action == CopyAction::None);
}

// Guards against a second order while the engine works on the first one (409), and against waiting for a target that
// has failed.
TEST(CopyRenewal, HasOneOrderUnderWayUnlessItsTargetIsLost)
{
    run.growing = inFailedZone;
    run.pending = healthy;
    CHECK(firstAction() == CopyAction::None);
    run.pending = inFailedZone;
    CHECK(firstAction() == CopyAction::Order);
}

// Guards against flooding an engine with orders that it rejects.
TEST(CopyRenewal, WaitsForTheRetryIntervalAfterARejection)
{
    run.growing = inFailedZone;
    CopyRenewal renewal(settings, 0);
    CHECK(actionAt(renewal, 1000) == CopyAction::Order);
    renewal.noteOrderEnded(CopyOrderResult::Rejected, Milliseconds { 1000 });
    CHECK(actionAt(renewal, 1199) == CopyAction::None);
    CHECK(actionAt(renewal, 1200) == CopyAction::Order);
    renewal.noteOrderEnded(CopyOrderResult::Unanswered, Milliseconds { 1200 });
    CHECK_TEXT(actionAt(renewal, 1599) == CopyAction::None, "the interval must double");
    CHECK(actionAt(renewal, 1600) == CopyAction::Order);
    renewal.noteOrderEnded(CopyOrderResult::Busy, Milliseconds { 1600 });
    CHECK_TEXT(actionAt(renewal, 1690) == CopyAction::Order, "after a 409 the next check orders again");
    renewal.noteOrderEnded(CopyOrderResult::RunUnknown, Milliseconds { 1700 });
    CHECK_TEXT(actionAt(renewal, 9000) == CopyAction::None, "after a 404 the run has ended at its engine");
}

// Guards against a handle that expires while the run still needs it.
TEST(CopyRenewal, RefreshesAnOrderedCopyBeforeItExpires)
{
    run.growing = inFailedZone;
    run.ordered = { healthy, Milliseconds { 1000 }, false };
    CopyRenewal renewal(settings, 0);
    CHECK(actionAt(renewal, 2599) == CopyAction::None);
    CHECK(actionAt(renewal, 2600) == CopyAction::Refresh);
    run.timeLeft = Milliseconds { 700 };
    CHECK_TEXT(actionAt(renewal, 2600) == CopyAction::None, "the run ends before the copy expires");
    run.timeLeft = Milliseconds { 6000 };
    CHECK_TEXT(actionAt(renewal, 5000) == CopyAction::Order, "the copy has expired");
    run.ordered = { healthy, Milliseconds { 5000 }, true };
    CHECK_TEXT(actionAt(renewal, 5100) == CopyAction::Order, "the refresh was rejected");
}

// Guards against copies that queue on the engines' links: the runs of a zone lose their copies together.
TEST(CopyRenewal, SpreadsOrdersWithTheLongestRunsFirst)
{
    settings.copyOrderSpread = Milliseconds { 200 };
    run.growing = inFailedZone;
    const auto firstOrderAt = [this](Milliseconds timeLeft, double spread) {
        run.timeLeft = timeLeft;
        CopyRenewal renewal(settings, spread);
        int now = 0;
        while (actionAt(renewal, now) != CopyAction::Order)
            ++now;
        return now;
    };
    LONGS_EQUAL(50, firstOrderAt(Milliseconds { 8000 }, 0.5));
    LONGS_EQUAL(100, firstOrderAt(Milliseconds { 4000 }, 0.5));
    LONGS_EQUAL(0, firstOrderAt(Milliseconds::max(), 0));
}

// Guards against continuations that are rejected because the copy is known to be gone: each costs a retry and time.
TEST(CopyRenewal, ContinuesOnlyFromCopiesThatMayExist)
{
    const auto usable = [this] { return usableCopies(run, Milliseconds { 2000 }); };
    const auto only = [](CopyKind kind) { return std::vector { kind }; };
    run.ordered = { healthy, Milliseconds { 1000 }, false };
    CHECK((usable() == std::vector { CopyKind::Growing, CopyKind::Ordered }));
    run.growing = inFailedZone;
    CHECK(usable() == only(CopyKind::Ordered));
    run.growing = CopyHolderState { .isRemoved = true, .isReplaced = true };
    CHECK_TEXT((usable() == std::vector { CopyKind::Ordered, CopyKind::Growing }),
        "the copy that is certain to exist must come before the one that may have been sent to the new incarnation");
    run.ordered->holder = { .isRemoved = true, .isReplaced = true };
    CHECK(usable() == only(CopyKind::Growing));
    run.growing = CopyHolderState { .isRemoved = true };
    CHECK(usable().empty());
    run.ordered = { healthy, Milliseconds { -3000 }, false };
    CHECK_TEXT(usable().empty(), "the copy has expired");
    run = { .hasEvent = false, .mayRunAgain = true, .growing = healthy };
    CHECK_TEXT(usable().empty(), "no memory is copied before the first event");
}

// Guards against streams that start over because their copies were in a zone that failed before: zones a, c, b lose 90%
// of their engines in turn every 3 s, and runs last 5 to 10 s.
TEST(CopyRenewal, CoversRunsWhileZonesFailInTurn)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto renewed = simulateCopies({ .seed = seed });
        const auto bare = simulateCopies({ .upkeep = CopyUpkeep::None, .seed = seed });
        CHECK(renewed.lost > 1000);
        CHECK_TEXT(renewed.coveredShare() >= 0.85, "runs lost in mid-stream that continue from a copy");
        CHECK_TEXT(bare.coveredShare() < 0.65, "without renewal nearly half of the copies are gone");
        CHECK(renewed.rejected * 10 < renewed.lost);
    }
}
