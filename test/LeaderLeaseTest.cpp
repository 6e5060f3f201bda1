#include "duty/LeaderLease.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds duration { 3000 };

Milliseconds at(std::int64_t milliseconds) { return Milliseconds { milliseconds }; }

} // namespace

TEST_GROUP(LeaderLease)
{
    LeaderLease lease { "vm1/1", duration };

    void read(const LeaderRecord& record, Milliseconds now)
    {
        lease.stepStarted(LeaseStep::Read, now);
        lease.noteRecord(record, now);
    }

    // Acquires the lease from another leader whose record has expired.
    void acquire(Milliseconds now)
    {
        read({ "vm2/1", 4, 70, 11 }, now - at(4000));
        CHECK(lease.nextStep(now) == LeaseStep::Acquire);
        lease.stepStarted(LeaseStep::Acquire, now);
        lease.noteWritten(12, now + at(10));
    }
};

TEST(LeaderLease, ReadsTheRecordFirst)
{
    CHECK(lease.nextStep(at(0)) == LeaseStep::Read);
    CHECK_FALSE(lease.isHeld(at(0)));
}

TEST(LeaderLease, IsNotTakenOverWhileItsRecordChanges)
{
    for (std::uint64_t version = 1; version < 10; ++version) {
        const auto now = at(static_cast<std::int64_t>(version) * 2000);
        read({ "vm2/1", 1, 0, version }, now);
        CHECK(lease.nextStep(now + at(1900)) == LeaseStep::Read);
    }
}

TEST(LeaderLease, IsTakenOverWithAHigherTokenOnceItsRecordStaysTheSame)
{
    acquire(at(9000));
    CHECK(lease.isHeld(at(9100)));
    LONGS_EQUAL(5, lease.fencingToken());
    LONGS_EQUAL(70, lease.completed());
}

TEST(LeaderLease, EndsBeforeOthersMayTakeItOver)
{
    acquire(at(9000));
    CHECK(lease.isHeld(at(11699)));
    CHECK_FALSE(lease.isHeld(at(11700)));
}

TEST(LeaderLease, EndsDuringASuspension)
{
    acquire(at(9000));
    CHECK_FALSE(lease.isHeld(at(60000)));
    CHECK_TEXT(lease.nextStep(at(60000)) == LeaseStep::Renew, "the write fails if another process has led since");
}

TEST(LeaderLease, IsLostWhenAnotherProcessHasWrittenTheRecord)
{
    acquire(at(9000));
    lease.stepStarted(LeaseStep::Renew, at(10000));
    lease.noteRecord({ "vm3/1", 6, 71, 14 }, at(10010));
    CHECK_FALSE(lease.isHeld(at(10011)));
    LONGS_EQUAL(71, lease.completed());
}

TEST(LeaderLease, OutlastsARenewalWithoutAnswer)
{
    acquire(at(9000));
    lease.stepStarted(LeaseStep::Renew, at(10000));
    lease.noteFailure();
    CHECK(lease.isHeld(at(10500)));
    // The lost renewal was applied after all.
    lease.stepStarted(LeaseStep::Renew, at(11000));
    lease.noteRecord({ "vm1/1", 5, 70, 13 }, at(11010));
    CHECK(lease.isHeld(at(11100)));
    LONGS_EQUAL(13, lease.recordToWrite(LeaseStep::Renew).version);
}

TEST(LeaderLease, EndsWhenTheStoreIsRestored)
{
    acquire(at(9000));
    lease.noteEra(1);
    CHECK_FALSE(lease.isHeld(at(9100)));
    CHECK(lease.nextStep(at(9100)) == LeaseStep::Read);
}

TEST(LeaderLease, WaitsForLeadersOfAnEarlierEra)
{
    lease.noteEra(1);
    read({}, at(1000));
    CHECK(lease.nextStep(at(4000)) != LeaseStep::Acquire);
    CHECK(lease.nextStep(at(4300)) == LeaseStep::Acquire);
}

TEST(LeaderLease, UsesHigherTokensAfterARestoreThanBefore)
{
    lease.noteEra(3);
    read({}, at(0));
    CHECK(lease.recordToWrite(LeaseStep::Acquire).fencingToken >= std::uint64_t { 3 } << 32);
}

TEST(LeaderLease, IsNotRenewedAfterItWasGivenUp)
{
    acquire(at(9000));
    lease.resign(at(9000), at(10000));
    CHECK_FALSE(lease.isHeld(at(10001)));
    CHECK(lease.nextStep(at(13500)) == LeaseStep::Read);
    CHECK(lease.nextStep(at(19001)) == LeaseStep::Acquire);
    LONGS_EQUAL(6, lease.recordToWrite(LeaseStep::Acquire).fencingToken);
}
