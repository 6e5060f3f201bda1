#include "limits/LimitKeeper.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(KnownLimit)
{
    KnownLimit limit;

    static void check(LimitChange wanted, LimitChange change) { CHECK(wanted == change); }
};

TEST(KnownLimit, IsNamedChangedAndEndedByWhatAnswersSay)
{
    check(LimitChange::None, limit.noteAnswer(std::nullopt, Milliseconds { 1 }, Milliseconds { 2 }));
    check(LimitChange::Named, limit.noteAnswer(1.0, Milliseconds { 3 }, Milliseconds { 4 }));
    check(LimitChange::None, limit.noteAnswer(1.0, Milliseconds { 5 }, Milliseconds { 6 }));
    check(LimitChange::Changed, limit.noteAnswer(0.5, Milliseconds { 5 }, Milliseconds { 7 }));
    check(LimitChange::Ended, limit.noteAnswer(std::nullopt, Milliseconds { 8 }, Milliseconds { 9 }));
    CHECK_FALSE(limit.perSecond().has_value());
}

// The answer may have been made before the endpoint was in need.
TEST(KnownLimit, IsNotEndedByAnAnswerToARequestThatWasSentBeforeItWasHeard)
{
    limit.noteAnswer(1.0, Milliseconds { 1 }, Milliseconds { 10 });
    check(LimitChange::None, limit.noteAnswer(std::nullopt, Milliseconds { 9 }, Milliseconds { 12 }));
    CHECK(limit.perSecond().has_value());
}

TEST(KnownLimit, TakesFromOtherVmsOnlyWhatIsNewer)
{
    limit.noteAnswer(1.0, Milliseconds { 1 }, Milliseconds { 10 });
    check(LimitChange::None, limit.notePeerReport(std::nullopt, Milliseconds { 10 }));
    check(LimitChange::Ended, limit.notePeerReport(std::nullopt, Milliseconds { 11 }));
}

TEST_GROUP(LimitKeeper)
{
    LimitKeeper keeper;
    Milliseconds now { 100000 };

    // Until the first place is there.
    void begin(double perSecond)
    {
        ask(perSecond);
        now += Milliseconds { 10000 };
    }

    PermitAnswer ask(double perSecond, Milliseconds patience = Milliseconds { 0 })
    {
        return keeper.ask({ "e1", { perSecond, Milliseconds { 0 } }, patience }, LimitKeeper::primaryShare, now);
    }

    // Asks each so many milliseconds for a minute; the most that were granted within any four seconds.
    std::size_t mostInFourSeconds(double perSecond, Milliseconds every)
    {
        std::vector<Milliseconds> granted;
        std::size_t most = 0;
        for (const auto end = now + Milliseconds { 60000 }; now < end; now += every) {
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

// The load of a fleet that always has requests for an endpoint in need, from one a second for all to hundreds.
TEST(LimitKeeper, GivesOutNoMoreThanTheLimitWithinFourSecondsAndNearlyAllOfIt)
{
    for (const auto perSecond : { 0.2, 1.0, 2.3, 20.0, 200.0 }) {
        const auto most = static_cast<double>(mostInFourSeconds(perSecond, Milliseconds { 1 }));
        CHECK_TEXT(most <= 4.4 * perSecond + 1, std::to_string(perSecond).c_str());
        CHECK_TEXT(most >= 0.9 * 4 * perSecond, std::to_string(perSecond).c_str());
        now += Milliseconds { 10000 };
    }
}

// One that starts again does not know what was given out just before.
TEST(LimitKeeper, GivesOutTheFirstPlaceWhenOneCouldHaveBeenGivenOutBefore)
{
    CHECK_FALSE(ask(1).isGranted);
    now += Milliseconds { 1100 };
    CHECK(ask(1).isGranted);
}

TEST(LimitKeeper, GivesAPlaceThatComesSoonToARequestThatCanWait)
{
    begin(1);
    CHECK(ask(1).isGranted);
    const auto second = ask(1, Milliseconds { 2000 });
    CHECK(second.isGranted);
    CHECK(second.wait > Milliseconds { 300 } && second.wait < Milliseconds { 1100 });
    const auto third = ask(1, Milliseconds { 1000 });
    CHECK_FALSE(third.isGranted);
    CHECK(third.wait > Milliseconds { 1100 } && third.wait < Milliseconds { 2200 });
}

TEST(LimitKeeper, LetsOnlyAFewWaitSoThatALimitThatFallsFindsFewPermitsOut)
{
    begin(20);
    int granted = 0;
    for (int i = 0; i < 100; ++i)
        granted += ask(20, Milliseconds { 10000 }).isGranted;
    CHECK(granted <= LimitKeeper::mostWaiting + 1 + 20 * PermitSchedule::placesKeptFor.count() / 1000);
}

TEST(LimitKeeper, SendsThoseThatGetNoPermitBackOneAfterTheOther)
{
    ask(1);
    const auto first = ask(1).wait;
    const auto second = ask(1).wait;
    CHECK(second - first >= Milliseconds { 40 });
}

TEST(LimitKeeper, LetsAllThroughOnceAVmHasHeardThatTheLimitHasEnded)
{
    ask(1);
    CHECK_FALSE(ask(1).isGranted);
    now += Milliseconds { 10 };
    keeper.reportLimit("e1", { std::nullopt, Milliseconds { 0 } }, now);
    // A VM that has not heard it yet asks with what it knew.
    const auto answer
        = keeper.ask({ "e1", { 1.0, Milliseconds { 500 } }, Milliseconds { 0 } }, LimitKeeper::primaryShare, now);
    CHECK(answer.isGranted);
    CHECK_FALSE(answer.report.perSecond.has_value());
}

TEST(LimitKeeper, AsksAnEndpointThatTakesNothingNowAndThen)
{
    const auto most = mostInFourSeconds(0, Milliseconds { 10 });
    LONGS_EQUAL(1, most);
}

TEST(LimitKeeper, ForgetsEndpointsThatNobodyAsksFor)
{
    for (int i = 0; i < 100; ++i)
        keeper.reportLimit("gone" + std::to_string(i), { 1.0, Milliseconds { 0 } }, now);
    now += Milliseconds { 61000 };
    ask(1);
    LONGS_EQUAL(1, keeper.size());
}
