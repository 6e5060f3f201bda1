#include "http/RequestMemory.h"

#include <deque>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t limit = 64 * mebibyte;
constexpr std::size_t largeBytes = 4 * mebibyte;
constexpr std::size_t pieceBytes = 64 * kibibyte;
constexpr std::size_t smallBytes = 2 * kibibyte;
// The request that is handled, and its copy for an endpoint.
constexpr std::size_t copies = 2;

} // namespace

// Guards against a process that runs out of memory because of the requests of all callers together.
TEST_GROUP(RequestMemory)
{
    std::shared_ptr<RequestMemory> memory { std::make_shared<RequestMemory>(limit) };
    std::set<int> refused;
    Milliseconds now { 0 };

    std::unique_ptr<RequestMemory::Holding> open(int number)
    {
        return memory->open(now, [this, number] { refused.insert(number); });
    }

    // Requests that have this much memory and never arrive whole, numbered from 1.
    std::vector<std::unique_ptr<RequestMemory::Holding>> crowd;
    void growCrowd(std::size_t count, std::size_t bytes)
    {
        for (std::size_t i = 0; i < count; ++i)
            crowd.push_back(open(static_cast<int>(crowd.size()) + 1));
        for (const auto& holding : crowd)
            holding->resize(bytes, now);
    }

    // Sends a request of this size in pieces, one a millisecond, and returns whether it was passed on.
    bool sendWhole(std::size_t bytes)
    {
        const auto holding = open(0);
        for (std::size_t sent = pieceBytes; sent < bytes; sent += pieceBytes) {
            if (!holding->resize(sent, now))
                return false;
            now += Milliseconds { 1 };
        }
        return holding->complete(copies * bytes, now);
    }

    // The same while the callers of the crowd send a byte every 10 ms.
    bool sendWholeBesideTrickle(std::size_t bytes, std::size_t crowdBytes)
    {
        constexpr std::size_t trickleInterval = 10;
        const auto holding = open(0);
        for (std::size_t sent = pieceBytes; sent < bytes; sent += pieceBytes) {
            if (!holding->resize(sent, now))
                return false;
            now += Milliseconds { 1 };
            if (sent / pieceBytes % trickleInterval == 0) {
                for (const auto& member : crowd)
                    member->resize(++crowdBytes, now);
            }
        }
        return holding->complete(copies * bytes, now);
    }
};

TEST(RequestMemory, RefusesWhatHasHeldMostMemoryForLongest)
{
    const auto older = open(1);
    CHECK(older->resize(20 * mebibyte, now));
    now += Milliseconds { 100 };
    const auto newer = open(2);
    CHECK(newer->resize(40 * mebibyte, now));
    const auto newest = open(3);
    CHECK(newest->resize(20 * mebibyte, now));
    CHECK(refused == std::set { 1 });
    CHECK_FALSE(older->resize(1, now));
    CHECK_FALSE(older->complete(1, now));
    LONGS_EQUAL(60 * mebibyte, memory->total());
    LONGS_EQUAL(1, memory->refusedCount());
}

TEST(RequestMemory, ARequestAloneMayNeedAllOfIt)
{
    CHECK(sendWhole(largeBytes));
    LONGS_EQUAL(0, memory->total());
    CHECK(open(1)->resize(limit, now));
    CHECK_FALSE(open(2)->resize(limit + 1, now));
    LONGS_EQUAL(0, memory->total());
}

TEST(RequestMemory, NeverRefusesARequestThatHasArrivedWhole)
{
    const auto whole = open(1);
    CHECK(whole->complete(40 * mebibyte, now));
    now += Milliseconds { 10000 };
    const auto incomplete = open(2);
    CHECK_FALSE(incomplete->resize(30 * mebibyte, now));
    CHECK(refused.empty());
    LONGS_EQUAL(40 * mebibyte, memory->completeTotal());
}

TEST(RequestMemory, KeepsRoomForSmallRequestsBesideLargeOnes)
{
    std::vector<std::unique_ptr<RequestMemory::Holding>> whole;
    for (int i = 0; i < 20; ++i) {
        whole.push_back(open(i));
        whole.back()->complete(copies * largeBytes, now);
    }
    LONGS_EQUAL(48 * mebibyte, memory->completeTotal());
    CHECK_FALSE(sendWhole(largeBytes));
    for (int i = 0; i < 1000; ++i) {
        whole.push_back(open(i));
        CHECK(whole.back()->complete(copies * smallBytes, now));
    }
}

// Replays the load: callers that leave large bodies incomplete, beside ordinary callers.
TEST(RequestMemory, OrdinaryRequestsArriveBesideLargeIncompleteOnes)
{
    growCrowd(120, largeBytes);
    CHECK(memory->total() <= limit);
    for (int i = 0; i < 100; ++i) {
        CHECK(sendWhole(smallBytes));
        CHECK(sendWhole(largeBytes));
    }
    LONGS_EQUAL(0, refused.count(0));
}

// Replays the load: thousands of callers with headers of thousands of fields. An ordinary large request is the largest.
TEST(RequestMemory, OrdinaryRequestsArriveBesideManyIncompleteOnes)
{
    growCrowd(2500, 500 * kibibyte);
    now += Milliseconds { 1000 };
    for (int i = 0; i < 100; ++i) {
        CHECK(sendWhole(smallBytes));
        CHECK(sendWhole(largeBytes));
    }
    LONGS_EQUAL(0, refused.count(0));
}

// Guards against large bodies that are sent quickly, one after another, and refuse small requests that take longer.
TEST(RequestMemory, SmallRequestsArriveBesideLargeOnesThatComeAndGo)
{
    constexpr int rounds = 200;
    constexpr Milliseconds interval { 10 };
    constexpr Milliseconds smallTime { 200 };
    constexpr std::size_t crowdSize = 50;
    std::deque<std::unique_ptr<RequestMemory::Holding>> large;
    std::vector<std::unique_ptr<RequestMemory::Holding>> small;
    for (int i = 0; i < rounds; ++i) {
        large.push_back(open(1));
        large.back()->resize(largeBytes, now);
        small.push_back(open(0));
        CHECK(small.back()->resize(smallBytes, now));
        now += interval;
        if (small.size() * interval > smallTime) {
            CHECK(small.front()->complete(copies * smallBytes, now));
            small.erase(small.begin());
        }
        if (large.size() > crowdSize)
            large.pop_front();
        CHECK(memory->total() <= limit);
    }
    LONGS_EQUAL(0, refused.count(0));
}

TEST(RequestMemory, OrdinaryRequestsArriveBesideSlowOnesThatGoOn)
{
    growCrowd(2500, 26 * kibibyte);
    now += Milliseconds { 1000 };
    for (int i = 0; i < 20; ++i)
        CHECK(sendWholeBesideTrickle(largeBytes, 26 * kibibyte));
    LONGS_EQUAL(0, refused.count(0));
}
