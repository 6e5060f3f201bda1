#include "limits/LimitKeeper.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(KnownLimit)
{
    KnownLimit limit;

    static void checkChange(LimitChange expected, LimitChange actual) { CHECK(expected == actual); }
};

TEST(KnownLimit, FollowsLimitsStatedInAnswers)
{
    checkChange(LimitChange::None, limit.noteAnswer(std::nullopt, Milliseconds { 1 }, Milliseconds { 2 }));
    checkChange(LimitChange::Named, limit.noteAnswer(1.0, Milliseconds { 3 }, Milliseconds { 4 }));
    checkChange(LimitChange::None, limit.noteAnswer(1.0, Milliseconds { 5 }, Milliseconds { 6 }));
    checkChange(LimitChange::Changed, limit.noteAnswer(0.5, Milliseconds { 5 }, Milliseconds { 7 }));
    checkChange(LimitChange::Ended, limit.noteAnswer(std::nullopt, Milliseconds { 8 }, Milliseconds { 9 }));
    CHECK_FALSE(limit.perSecond().has_value());
}

// The answer may have been produced before the endpoint was overloaded.
TEST(KnownLimit, IgnoresAnswerToRequestSentBeforeLimitWasStated)
{
    limit.noteAnswer(1.0, Milliseconds { 1 }, Milliseconds { 10 });
    checkChange(LimitChange::None, limit.noteAnswer(std::nullopt, Milliseconds { 9 }, Milliseconds { 12 }));
    CHECK(limit.perSecond().has_value());
}

TEST(KnownLimit, AcceptsOnlyNewerReportsFromOtherVms)
{
    limit.noteAnswer(1.0, Milliseconds { 1 }, Milliseconds { 10 });
    checkChange(LimitChange::None, limit.notePeerReport(std::nullopt, Milliseconds { 10 }));
    checkChange(LimitChange::Ended, limit.notePeerReport(std::nullopt, Milliseconds { 11 }));
}

TEST_GROUP(LimitKeeper)
{
    LimitKeeper keeper;
    Milliseconds now { 100000 };

    // Advances until the first slot is available.
    void skipFirstSlotDelay(double perSecond)
    {
        ask(perSecond);
        now += Milliseconds { 10000 };
    }

    PermitAnswer ask(double perSecond, Milliseconds permitTimeout = Milliseconds { 0 })
    {
        return keeper.ask({ "e1", { perSecond, Milliseconds { 0 } }, permitTimeout }, LimitKeeper::primaryShare, now);
    }

    // Requests permits at this interval for a minute and returns the maximum number granted within any four seconds.
    std::size_t maxGrantedInFourSeconds(double perSecond, Milliseconds interval)
    {
        std::vector<Milliseconds> granted;
        std::size_t most = 0;
        for (const auto end = now + Milliseconds { 60000 }; now < end; now += interval) {
            if (!ask(perSecond).isGranted)
                continue;
            granted.push_back(now);
            while (now - granted.front() >= Milliseconds { 4000 })
                granted.erase(granted.begin());
            most = std::max(most, granted.size());
        }
        return most;
    }
};

// A fleet that always has requests for an overloaded endpoint, with limits from 0.2 to 200 requests a second.
TEST(LimitKeeper, IssuesNearlyTheFullLimitAndNoMoreWithinFourSeconds)
{
    for (const auto perSecond : { 0.2, 1.0, 2.3, 20.0, 200.0 }) {
        const auto most = static_cast<double>(maxGrantedInFourSeconds(perSecond, Milliseconds { 1 }));
        CHECK_TEXT(most <= 4.4 * perSecond + 1, std::to_string(perSecond).c_str());
        CHECK_TEXT(most >= 0.9 * 4 * perSecond, std::to_string(perSecond).c_str());
        now += Milliseconds { 10000 };
    }
}

// A keeper that restarts does not know which permits were issued just before.
TEST(LimitKeeper, DelaysFirstSlotByOneInterval)
{
    CHECK_FALSE(ask(1).isGranted);
    now += Milliseconds { 1100 };
    CHECK(ask(1).isGranted);
}

TEST(LimitKeeper, GrantsNextSlotToRequestThatCanWait)
{
    skipFirstSlotDelay(1);
    CHECK(ask(1).isGranted);
    const auto second = ask(1, Milliseconds { 2000 });
    CHECK(second.isGranted);
    CHECK(second.wait > Milliseconds { 300 } && second.wait < Milliseconds { 1100 });
    const auto third = ask(1, Milliseconds { 1000 });
    CHECK_FALSE(third.isGranted);
    CHECK(third.wait > Milliseconds { 1100 } && third.wait < Milliseconds { 2200 });
}

TEST(LimitKeeper, BoundsOutstandingPermits)
{
    skipFirstSlotDelay(20);
    int granted = 0;
    for (int i = 0; i < 100; ++i)
        granted += ask(20, Milliseconds { 10000 }).isGranted;
    CHECK(granted <= LimitKeeper::maxWaiting + 1 + 20 * PermitSchedule::unusedSlotLifetime.count() / 1000);
}

TEST(LimitKeeper, SpacesReturnsOfVmsWithoutPermit)
{
    ask(1);
    const auto first = ask(1).wait;
    const auto second = ask(1).wait;
    CHECK(second - first >= Milliseconds { 40 });
}

TEST(LimitKeeper, GrantsAllRequestsAfterLimitHasEnded)
{
    ask(1);
    CHECK_FALSE(ask(1).isGranted);
    now += Milliseconds { 10 };
    keeper.reportLimit("e1", { std::nullopt, Milliseconds { 0 } }, now);
    // A VM that does not know of the end requests a permit with the old limit.
    const auto answer
        = keeper.ask({ "e1", { 1.0, Milliseconds { 500 } }, Milliseconds { 0 } }, LimitKeeper::primaryShare, now);
    CHECK(answer.isGranted);
    CHECK_FALSE(answer.report.perSecond.has_value());
}

TEST(LimitKeeper, GrantsOccasionalPermitAtLimitOfZero)
{
    const auto most = maxGrantedInFourSeconds(0, Milliseconds { 10 });
    LONGS_EQUAL(1, most);
}

TEST(LimitKeeper, RemovesStateOfUnusedEndpoints)
{
    for (int i = 0; i < 100; ++i)
        keeper.reportLimit("gone" + std::to_string(i), { 1.0, Milliseconds { 0 } }, now);
    now += Milliseconds { 61000 };
    ask(1);
    LONGS_EQUAL(1, keeper.size());
}
