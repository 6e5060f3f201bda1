#include "admission/WaitForCapacity.h"
#include "admission/WaitingRequestLimit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds medianCallTime { 60 };

// Results of replaying a load.
struct Outcome {
    int served { 0 };
    int lost { 0 };
    Milliseconds longestWait { 0 };
};

// How a VM treats a call that finds no capacity.
enum class Policy {
    RefuseAtOnce, // The caller retries after 250 ms, whatever the cause.
    WaitForCapacity,
};

// A caller with one retry.
struct Caller {
    Milliseconds deadline { 0 };
    Milliseconds arrivedAt { 0 };
    unsigned rounds { 0 };
    bool hasRetried { false };
};

struct Event {
    Milliseconds at;
    Caller caller;
    bool operator>(const Event& other) const { return at > other.at; }
};

// Replays callers against a service; tryServe(now) returns whether a call that is sent at that time is served.
template <typename TryServe>
Outcome replay(Policy policy, CapacityObstacle obstacle, Milliseconds attemptTime, const std::vector<Event>& arrivals,
    const TryServe& tryServe)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> spread(0, 1);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events { std::greater<> {}, arrivals };
    Outcome outcome;
    while (!events.empty()) {
        auto [now, caller] = events.top();
        events.pop();
        if (tryServe(now)) {
            ++outcome.served;
            continue;
        }
        now += attemptTime;
        const WaitingCall call { caller.arrivedAt, caller.deadline, caller.rounds };
        const auto decision = waitForCapacity(call, medianCallTime, spread(random), now);
        if (policy == Policy::WaitForCapacity && decision.waits) {
            ++caller.rounds;
            events.push({ now + decision.pause, caller });
            continue;
        }
        outcome.longestWait = std::max(outcome.longestWait, now - caller.arrivedAt);
        const auto pause = policy == Policy::WaitForCapacity
            ? callerRetryDelay(obstacle, caller.deadline - now, spread(random))
            : Milliseconds { 250 };
        if (caller.hasRetried || now + pause >= caller.deadline) {
            ++outcome.lost;
            continue;
        }
        events.push({ now + pause, { caller.deadline, now + pause, 0, true } });
    }
    return outcome;
}

// Callers with four seconds each, at random times uniformly distributed over `time`.
std::vector<Event> arrivalsWithin(Milliseconds time, int count)
{
    std::mt19937 random(3);
    std::uniform_int_distribution<std::int64_t> within(0, time.count() - 1);
    std::vector<Event> arrivals;
    for (int i = 0; i < count; ++i) {
        const Milliseconds at { within(random) };
        arrivals.push_back({ at, { at + Milliseconds { 4000 }, at } });
    }
    return arrivals;
}

} // namespace

TEST_GROUP(WaitForCapacity) {};

TEST(WaitForCapacity, PauseDoublesAndWaitEndsAtHalfOfTheTime)
{
    WaitingCall call { Milliseconds { 0 }, Milliseconds { 1000 }, 0 };
    LONGS_EQUAL(60, waitForCapacity(call, medianCallTime, 0.5, Milliseconds { 10 }).pause.count());
    call.rounds = 2;
    LONGS_EQUAL(240, waitForCapacity(call, medianCallTime, 0.5, Milliseconds { 10 }).pause.count());
    call.rounds = 40;
    LONGS_EQUAL(maxPause.count(), waitForCapacity(call, medianCallTime, 0.5, Milliseconds { 10 }).pause.count());
    CHECK(waitForCapacity(call, medianCallTime, 0.5, Milliseconds { 100 }).waits);
    CHECK_FALSE_TEXT(waitForCapacity(call, medianCallTime, 0.5, Milliseconds { 101 }).waits,
        "the other half of its time is reserved for a retry elsewhere");
}

TEST(WaitForCapacity, RefusesAtOnceCallThatCannotEndInTime)
{
    const WaitingCall call { Milliseconds { 0 }, Milliseconds { 1000 }, 0 };
    CHECK_FALSE(waitForCapacity(call, Milliseconds { 980 }, 0.5, Milliseconds { 0 }).waits);
}

TEST(WaitForCapacity, RetryDelayFitsTheRemainingTimeOfTheCaller)
{
    LONGS_EQUAL(250, callerRetryDelay(CapacityObstacle::Full, Milliseconds { 4000 }, 0.5).count());
    LONGS_EQUAL(100, callerRetryDelay(CapacityObstacle::Full, Milliseconds { 300 }, 0.5).count());
    LONGS_EQUAL(1000, callerRetryDelay(CapacityObstacle::Unreachable, Milliseconds { 3000 }, 0.5).count());
    LONGS_EQUAL(0, callerRetryDelay(CapacityObstacle::Unreachable, Milliseconds { -5 }, 0.5).count());
}

// A zone is cut off for five seconds while 300 callers arrive. The first call of a VM tries four endpoints for 80 ms
// each, later calls one.
TEST(WaitForCapacity, ZoneCutReplayServesMostCallers)
{
    constexpr Milliseconds cut { 5000 };
    const auto arrivals = arrivalsWithin(cut, 300);
    const auto isOver = [cut](Milliseconds now) { return now >= cut; };
    const auto before
        = replay(Policy::RefuseAtOnce, CapacityObstacle::Unreachable, Milliseconds { 320 }, arrivals, isOver);
    const auto after
        = replay(Policy::WaitForCapacity, CapacityObstacle::Unreachable, Milliseconds { 80 }, arrivals, isOver);
    CHECK_TEXT(before.lost > 230, "refusing at once should lose most callers of this load");
    CHECK_TEXT(after.lost < 130, "waiting should serve three in five of the callers");
    CHECK_TEXT(after.longestWait <= Milliseconds { 2080 }, "no caller should wait for more than half of its time");
}

// A service with 36 slots and 60 ms a call returns after an outage: the calls of 0.6 s arrive at once.
TEST(WaitForCapacity, ServiceRecoveryReplayLosesNoCaller)
{
    auto arrivals = arrivalsWithin(Milliseconds { 2000 }, 500);
    for (int i = 0; i < 140; ++i)
        arrivals.push_back({ Milliseconds { i / 10 }, { Milliseconds { 4000 }, Milliseconds { i / 10 } } });
    const auto run = [&arrivals](Policy policy) {
        std::vector<Milliseconds> freeAt(36, Milliseconds { 0 });
        return replay(policy, CapacityObstacle::Full, Milliseconds { 4 }, arrivals, [&freeAt](Milliseconds now) {
            const auto place = std::min_element(freeAt.begin(), freeAt.end());
            if (*place > now)
                return false;
            *place = now + medianCallTime;
            return true;
        });
    };
    CHECK_TEXT(run(Policy::RefuseAtOnce).lost > 0, "refusing at once should lose some callers of this load");
    LONGS_EQUAL(0, run(Policy::WaitForCapacity).lost);
}

TEST_GROUP(WaitingRequestLimit) {};

TEST(WaitingRequestLimit, EnforcesCountAndSizeBounds)
{
    WaitingRequestLimit limit;
    const auto enter = [&limit](std::size_t bytes) { return limit.enter({ bytes }, Milliseconds { 0 }, {}); };
    const auto largest = enter(WaitingRequestLimit::maxBytes);
    CHECK(largest.has_value());
    CHECK_FALSE_TEXT(enter(1).has_value(), "request bodies must not use the memory that the VM needs");
    limit.leave(*largest);
    std::optional<WaitingRequestLimit::Place> last;
    for (std::size_t i = 0; i < WaitingRequestLimit::maxRequests; ++i) {
        last = enter(1);
        CHECK(last.has_value());
    }
    CHECK_FALSE(enter(1).has_value());
    limit.leave(*last);
    CHECK(enter(1).has_value());
}

TEST(WaitForCapacity, WaitsForLimitedEndpointOnlyIfAvailableInTime)
{
    const WaitingCall call { Milliseconds { 0 }, Milliseconds { 1500 }, 0 };
    const Milliseconds medianCallTime { 50 };
    const auto soon = waitForAvailability(call, Milliseconds { 600 }, medianCallTime, 0, Milliseconds { 100 });
    CHECK(soon.waits);
    LONGS_EQUAL(600, soon.pause.count());
    CHECK_FALSE(waitForAvailability(call, Milliseconds { 700 }, medianCallTime, 0, Milliseconds { 100 }).waits);
    LONGS_EQUAL_TEXT(minPause.count(),
        waitForAvailability(call, Milliseconds { 0 }, medianCallTime, 0, Milliseconds { 100 }).pause.count(),
        "a request that missed its slot should not retry in a tight loop");
}
