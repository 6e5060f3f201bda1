#include "daemon/KeyPlacement.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(KeyPlacement)
{
    using Kind = KeyPlacement::Kind;

    static ReplicaRecord record(bool isRepeatable)
    {
        ReplicaRecord record;
        record.runner.vm = "vm1";
        record.runner.incarnation = 7;
        record.request.repeatable = isRepeatable;
        return record;
    }

    static std::optional<PeerIdentity> runner(std::uint64_t incarnation)
    {
        PeerIdentity identity;
        identity.vm = "vm1";
        identity.incarnation = incarnation;
        return identity;
    }

    static void expect(Kind kind, const KeyPlacement& placement)
    {
        LONGS_EQUAL(static_cast<int>(kind), static_cast<int>(placement.kind));
    }
};

TEST(KeyPlacement, ForwardsToTheVmThatStillRunsTheWork)
{
    for (const bool isRepeatable : { true, false }) {
        const auto placement = placeByRecord(record(isRepeatable), runner(7));
        expect(Kind::Forward, placement);
        STRCMP_EQUAL("vm1", placement.target.vm.c_str());
    }
}

TEST(KeyPlacement, RefusesUnrepeatableWorkThatMayStillRun)
{
    const auto placement = placeByRecord(record(false), std::nullopt);
    expect(Kind::Refuse, placement);
    CHECK_FALSE_TEXT(
        placement.record.has_value(), "a record that is not taken over should not be moved into the placement");
}

TEST(KeyPlacement, TakesRepeatableWorkOverFromAnUnreachableVm)
{
    const auto placement = placeByRecord(record(true), std::nullopt);
    expect(Kind::TakeOver, placement);
    CHECK(placement.record.has_value());
}

TEST(KeyPlacement, TakesWorkOverFromARestartedVm)
{
    for (const bool isRepeatable : { true, false })
        expect(Kind::TakeOver, placeByRecord(record(isRepeatable), runner(8)));
}

TEST(KeyPlacement, ServesFinishedWorkFromTheRecord)
{
    auto finished = record(false);
    finished.finishReason = FinishReason {};
    expect(Kind::TakeOver, placeByRecord(finished, std::nullopt));
}
