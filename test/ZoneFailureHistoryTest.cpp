#include "health/ZoneFailureHistory.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ZoneFailureHistory)
{
    const std::vector<std::string> zones { "a", "b", "c" };
    std::mt19937 random { 26 };
    ZoneFailureHistory history;
    Milliseconds now { 10000 };

    int uniform(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }

    void fail(const std::string& zone)
    {
        now += Milliseconds { uniform(3000, 7000) };
        CHECK(history.add(zone, now));
    }

    double greatestDifference(const ZoneFailureHistory& of) const
    {
        const auto shares = of.shares(zones);
        return *std::max_element(shares.begin(), shares.end()) - *std::min_element(shares.begin(), shares.end());
    }
};

// Copies and prompts went to the zone that was the next to fail.
TEST(ZoneFailureHistory, ExpectsTheNextZoneWhereZonesFailInTurn)
{
    for (int i = 0; i < 9; ++i)
        fail(std::string(1, "acb"[i % 3]));
    const auto shares = history.shares(zones);
    CHECK_TEXT(shares[0] > 0.7, "zone a failed longest ago");
    const auto risks = history.risks(zones, now);
    CHECK_TEXT(risks[0] > 0.12 && risks[0] < 0.25, std::to_string(risks[0]).c_str());
    fail("a");
    CHECK_TEXT(history.shares(zones)[2] > 0.7, "zone c is the next one");
}

TEST(ZoneFailureHistory, ExpectsAZoneThatAloneFailsAgain)
{
    for (int i = 0; i < 12; ++i)
        fail("b");
    CHECK(history.shares(zones)[1] > 0.7);
}

// Chance made some zone look safer, and a preference for it only concentrated the load.
TEST(ZoneFailureHistory, PrefersNoZoneWhereFailuresHaveNoMemory)
{
    int preferring = 0;
    int states = 0;
    std::vector<double> sums(zones.size(), 0);
    for (int run = 0; run < 2000; ++run) {
        history = {};
        for (int i = 0; i < 40; ++i) {
            fail(zones[static_cast<std::size_t>(uniform(0, 2))]);
            preferring += greatestDifference(history) > 0.001;
            ++states;
        }
        const auto shares = history.shares(zones);
        for (std::size_t i = 0; i < zones.size(); ++i)
            sums[i] += shares[i] / 2000;
    }
    CHECK_TEXT(preferring * 50 < states, ("states with a preference: " + std::to_string(preferring)).c_str());
    for (const auto mean : sums)
        DOUBLES_EQUAL(1.0 / 3, mean, 0.005);
}

// The zones failed in turn, and then at random: the preference must end.
TEST(ZoneFailureHistory, ForgetsAnOrderThatNoLongerHolds)
{
    for (int i = 0; i < 32; ++i)
        fail(std::string(1, "acb"[i % 3]));
    for (int i = 0; i < 32; ++i)
        fail(zones[static_cast<std::size_t>(uniform(0, 2))]);
    CHECK(greatestDifference(history) < 0.001);
}

// Two collectors declare one failure, and engines that stay silent are noticed seconds later.
TEST(ZoneFailureHistory, CountsAFailureSeenTwiceOnce)
{
    fail("a");
    CHECK_FALSE(history.add("a", now + Milliseconds { 900 }));
    CHECK_FALSE(history.add("a", now - Milliseconds { 900 }));
    LONGS_EQUAL(1, history.failures().size());
}

// Guards against a false failure that other VMs add again with their history.
TEST(ZoneFailureHistory, ARetractedFailureIsNotAddedAgain)
{
    fail("a");
    history.retract("a", now + Milliseconds { 10 });
    CHECK(history.isEmpty());
    CHECK_FALSE(history.add("a", now - Milliseconds { 20 }));
    CHECK_TEXT(history.add("b", now), "the other zone has failed");
    fail("a");
    LONGS_EQUAL(2, history.failures().size());
}

// A VM that starts gets the history from another one, in any order and more than once.
TEST(ZoneFailureHistory, IsTheSameWhateverTheOrderOfItsMessages)
{
    for (int i = 0; i < 30; ++i)
        fail(std::string(1, "acb"[i % 3]));
    auto failures = history.failures();
    ZoneFailureHistory other;
    for (int round = 0; round < 2; ++round) {
        std::shuffle(failures.begin(), failures.end(), random);
        for (const auto& failure : failures)
            other.add(failure.zone, failure.at);
    }
    LONGS_EQUAL(history.failures().size(), other.failures().size());
    DOUBLES_EQUAL(history.shares(zones)[0], other.shares(zones)[0], 0.0001);
}

// After an hour without failures, the risk of a zone still moved requests.
TEST(ZoneFailureHistory, ExpectsFewerFailuresOnceTheyHaveStopped)
{
    for (int i = 0; i < 20; ++i)
        fail(std::string(1, "acb"[i % 3]));
    CHECK(history.rate(now) > 0.15);
    CHECK(history.rate(now + Milliseconds { 600000 }) < 0.002);
}
