#include "reach/EndpointReachability.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointReachability)
{
    EndpointReachability reachability;
    Milliseconds now { 10'000 };
    static constexpr std::size_t endpointCount = 20;

    void fail(const std::string& id) { reachability.noteConnection({ id, false }, endpointCount, now); }
    void connect(const std::string& id) { reachability.noteConnection({ id, true }, endpointCount, now); }

    void check(bool hasConnected)
    {
        CHECK(reachability.isCheckDue(now));
        reachability.noteCheckStarted(now);
        reachability.noteCheck(hasConnected, now);
    }

    void becomePartitioned()
    {
        fail("e1");
        fail("e2");
        check(false);
        CHECK(reachability.isPartitioned());
    }
};

TEST(EndpointReachability, IsSuspectedAfterSeveralEndpointsFail)
{
    fail("e1");
    fail("e1");
    CHECK(reachability.state() == Reachability::Reachable);
    fail("e2");
    CHECK(reachability.state() == Reachability::Suspected);
}

TEST(EndpointReachability, IsPartitionedWhenTheCheckFailsToo)
{
    becomePartitioned();
    CHECK_FALSE(reachability.isCheckDue(now));
    now += EndpointReachability::checkInterval;
    CHECK(reachability.isCheckDue(now));
}

// The engines of a zone fail together every few seconds.
TEST(EndpointReachability, IsReachableWhenOnlyAZoneFails)
{
    for (const auto* const id : { "a1", "a2", "a3" })
        fail(id);
    check(true);
    CHECK(reachability.state() == Reachability::Reachable);
    LONGS_EQUAL(0, reachability.failedCount());
}

TEST(EndpointReachability, FailuresWithAConnectionInBetweenAreNoPartition)
{
    fail("e1");
    connect("e3");
    fail("e2");
    CHECK(reachability.state() == Reachability::Reachable);
}

TEST(EndpointReachability, FailuresLongAfterEachOtherAreNoPartition)
{
    fail("e1");
    now += EndpointReachability::failureWindow + Milliseconds { 1 };
    fail("e2");
    CHECK(reachability.state() == Reachability::Reachable);
}

TEST(EndpointReachability, ASingleEndpointIsEnoughWhereThereIsNoOther)
{
    reachability.noteConnection({ "e1", false }, 1, now);
    CHECK(reachability.state() == Reachability::Suspected);
}

TEST(EndpointReachability, EndsWithTheFirstConnection)
{
    becomePartitioned();
    connect("e7");
    CHECK(reachability.state() == Reachability::Reachable);
}

TEST(EndpointReachability, AConnectionDuringACheckOutweighsItsFailure)
{
    fail("e1");
    fail("e2");
    reachability.noteCheckStarted(now);
    connect("e3");
    reachability.noteCheck(false, now);
    CHECK(reachability.state() == Reachability::Reachable);
}

TEST(EndpointReachability, BeginsAgain)
{
    becomePartitioned();
    connect("e7");
    now += Milliseconds { 500 };
    becomePartitioned();
}
