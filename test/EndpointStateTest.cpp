#include "daemon/EndpointState.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds initialEjection { 100 };
constexpr Milliseconds maxEjection { 300 };

Milliseconds at(std::int64_t milliseconds) { return Milliseconds { milliseconds }; }

} // namespace

TEST_GROUP(EndpointState)
{
    EndpointState endpoint { { "e1", "z1", "127.0.0.1", 1, { "story" } }, {}, { initialEjection, maxEjection } };

    void failAt(std::int64_t now, FailureKind failure = FailureKind::ConnectionLost)
    {
        endpoint.workStarted();
        endpoint.workEnded(failure, at(now));
    }
};

TEST(EndpointState, IsEjectedForALimitedTimeAfterAFailure)
{
    failAt(1000);
    CHECK_FALSE(endpoint.isEligible(at(1099)));
    CHECK(endpoint.isEligible(at(1100)));
}

TEST(EndpointState, CountsStreamsThatFailTogetherAsOneFailure)
{
    failAt(1000);
    failAt(1001);
    failAt(1002);
    CHECK(endpoint.isEligible(at(1100)));
}

TEST(EndpointState, DoublesEjectionTimeUpToTheMaximum)
{
    failAt(1000);
    failAt(2000);
    CHECK_FALSE(endpoint.isEligible(at(2199)));
    CHECK(endpoint.isEligible(at(2200)));
    failAt(3000);
    CHECK_FALSE(endpoint.isEligible(at(3299)));
    CHECK(endpoint.isEligible(at(3300)));
}

TEST(EndpointState, ResetsEjectionTimeAfterASuccess)
{
    failAt(1000);
    endpoint.workStarted();
    endpoint.workEnded(std::nullopt, at(1500));
    failAt(2000);
    CHECK(endpoint.isEligible(at(2100)));
}

TEST(EndpointState, StaysEligibleAfterAFailureThatIsNotItsFault)
{
    failAt(1000, FailureKind::FirstTokenTimeout);
    CHECK(endpoint.isEligible(at(1000)));
}

TEST(EndpointState, AllowsOneProbeAtATimeWhileEjected)
{
    failAt(1000);
    CHECK(endpoint.reserveProbe(at(1010)));
    CHECK_FALSE(endpoint.reserveProbe(at(1011)));
    failAt(1012, FailureKind::ConnectionRefused);
    CHECK(endpoint.reserveProbe(at(1013)));
}

TEST(EndpointState, IsEligibleAsSoonAsAProbeIsAnswered)
{
    failAt(1000);
    endpoint.reserveProbe(at(1010));
    endpoint.noteAlive();
    CHECK(endpoint.isEligible(at(1020)));
}

TEST(EndpointState, GetsNoNewWorkAndNoProbeWhileShuttingDown)
{
    endpoint.setListing(EndpointListing::Leaving);
    CHECK_FALSE(endpoint.isEligible(at(0)));
    failAt(1000);
    CHECK_FALSE(endpoint.reserveProbe(at(1010)));
}
