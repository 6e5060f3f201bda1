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

constexpr Milliseconds usual { 60 };

// What became of the callers of a replayed load.
struct Outcome {
    int served { 0 };
    int lost { 0 };
    Milliseconds longestHeld { 0 };
};

// How a VM deals with a call that found no place.
enum class Rule {
    RefuseAtOnce, // "Come back in 250 ms", whatever the cause.
    WaitForCapacity,
};

// One caller, with a retry.
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

// Plays callers against a service; takePlace(now) says whether a call that is sent then is served.
template <typename TakePlace>
Outcome play(Rule rule, PlaceObstacle obstacle, Milliseconds trying, const std::vector<Event>& arrivals,
    const TakePlace& takePlace)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> spread(0, 1);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events { std::greater<> {}, arrivals };
    Outcome outcome;
    while (!events.empty()) {
        auto [now, caller] = events.top();
        events.pop();
        if (takePlace(now)) {
            ++outcome.served;
            continue;
        }
        now += trying;
        const WaitingCall call { caller.arrivedAt, caller.deadline, caller.rounds };
        const auto decision = waitForCapacity(call, usual, spread(random), now);
        if (rule == Rule::WaitForCapacity && decision.waits) {
            ++caller.rounds;
            events.push({ now + decision.pause, caller });
            continue;
        }
        outcome.longestHeld = std::max(outcome.longestHeld, now - caller.arrivedAt);
        const auto pause = rule == Rule::WaitForCapacity ? comeBackIn(obstacle, caller.deadline - now, spread(random))
                                                         : Milliseconds { 250 };
        if (caller.hasRetried || now + pause >= caller.deadline) {
            ++outcome.lost;
            continue;
        }
        events.push({ now + pause, { caller.deadline, now + pause, 0, true } });
    }
    return outcome;
}

// Callers with four seconds each, evenly spread at random over a time.
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

TEST(WaitForCapacity, WaitsLongerEachTimeAndNoLongerThanHalfOfItsTime)
{
    WaitingCall call { Milliseconds { 0 }, Milliseconds { 1000 }, 0 };
    LONGS_EQUAL(60, waitForCapacity(call, usual, 0.5, Milliseconds { 10 }).pause.count());
    call.rounds = 2;
    LONGS_EQUAL(240, waitForCapacity(call, usual, 0.5, Milliseconds { 10 }).pause.count());
    call.rounds = 40;
    LONGS_EQUAL(longestPause.count(), waitForCapacity(call, usual, 0.5, Milliseconds { 10 }).pause.count());
    CHECK(waitForCapacity(call, usual, 0.5, Milliseconds { 100 }).waits);
    CHECK_FALSE_TEXT(waitForCapacity(call, usual, 0.5, Milliseconds { 101 }).waits,
        "the other half of its time is for a try elsewhere");
}

TEST(WaitForCapacity, RefusesAtOnceWhatCannotEndInTime)
{
    const WaitingCall call { Milliseconds { 0 }, Milliseconds { 1000 }, 0 };
    CHECK_FALSE(waitForCapacity(call, Milliseconds { 980 }, 0.5, Milliseconds { 0 }).waits);
}

TEST(WaitForCapacity, TellsACallerToComeBackWithinTheTimeThatItCanUse)
{
    LONGS_EQUAL(250, comeBackIn(PlaceObstacle::Full, Milliseconds { 4000 }, 0.5).count());
    LONGS_EQUAL(100, comeBackIn(PlaceObstacle::Full, Milliseconds { 300 }, 0.5).count());
    LONGS_EQUAL(1000, comeBackIn(PlaceObstacle::Unreachable, Milliseconds { 3000 }, 0.5).count());
    LONGS_EQUAL(0, comeBackIn(PlaceObstacle::Unreachable, Milliseconds { -5 }, 0.5).count());
}

// A zone is cut off for five seconds, 300 callers come meanwhile; the first call of a VM tries four endpoints for 80 ms
// each, later ones one.
TEST(WaitForCapacity, ReplayOfACutServesMostWhoWereLost)
{
    constexpr Milliseconds cut { 5000 };
    const auto arrivals = arrivalsWithin(cut, 300);
    const auto isOver = [cut](Milliseconds now) { return now >= cut; };
    const auto before = play(Rule::RefuseAtOnce, PlaceObstacle::Unreachable, Milliseconds { 320 }, arrivals, isOver);
    const auto after = play(Rule::WaitForCapacity, PlaceObstacle::Unreachable, Milliseconds { 80 }, arrivals, isOver);
    CHECK_TEXT(before.lost > 230, "the load should lose most callers by the rule before");
    CHECK_TEXT(after.lost < 130, "three in five of the callers should be served now");
    CHECK_TEXT(after.longestHeld <= Milliseconds { 2080 }, "nobody is held for more than half of its time");
}

// A service of 36 places and 60 ms a call has been away: the calls of 0.6 s come at once.
TEST(WaitForCapacity, ReplayOfTheReturnOfAServiceLosesNobody)
{
    auto arrivals = arrivalsWithin(Milliseconds { 2000 }, 500);
    for (int i = 0; i < 140; ++i)
        arrivals.push_back({ Milliseconds { i / 10 }, { Milliseconds { 4000 }, Milliseconds { i / 10 } } });
    const auto run = [&arrivals](Rule rule) {
        std::vector<Milliseconds> freeAt(36, Milliseconds { 0 });
        return play(rule, PlaceObstacle::Full, Milliseconds { 4 }, arrivals, [&freeAt](Milliseconds now) {
            const auto place = std::min_element(freeAt.begin(), freeAt.end());
            if (*place > now)
                return false;
            *place = now + usual;
            return true;
        });
    };
    CHECK_TEXT(run(Rule::RefuseAtOnce).lost > 0, "the load should lose some callers by the rule before");
    LONGS_EQUAL(0, run(Rule::WaitForCapacity).lost);
}

TEST_GROUP(WaitingRequestLimit) {};

TEST(WaitingRequestLimit, HoldsNoMoreThanItsBounds)
{
    WaitingRequestLimit room;
    CHECK(room.enter(WaitingRequestLimit::mostBytes));
    CHECK_FALSE_TEXT(room.enter(1), "bodies must not take the memory that the VM needs");
    room.leave(WaitingRequestLimit::mostBytes);
    for (std::size_t i = 0; i < WaitingRequestLimit::mostRequests; ++i)
        CHECK(room.enter(1));
    CHECK_FALSE(room.enter(1));
    room.leave(1);
    CHECK(room.enter(1));
}

TEST(WaitForCapacity, ACallWaitsForAPlaceAtALimitedEndpointOnlyIfItComesInItsTime)
{
    const WaitingCall call { Milliseconds { 0 }, Milliseconds { 1500 }, 0 };
    const Milliseconds usual { 50 };
    const auto soon = waitForAvailability(call, Milliseconds { 600 }, usual, 0, Milliseconds { 100 });
    CHECK(soon.waits);
    LONGS_EQUAL(600, soon.pause.count());
    CHECK_FALSE(waitForAvailability(call, Milliseconds { 700 }, usual, 0, Milliseconds { 100 }).waits);
    LONGS_EQUAL_TEXT(shortestPause.count(),
        waitForAvailability(call, Milliseconds { 0 }, usual, 0, Milliseconds { 100 }).pause.count(),
        "a place that was missed is not asked for again and again");
}
