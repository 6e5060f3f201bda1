// Replays loads of streams with objectives against a small model of engines: each reads one prompt at a time, the most
// urgent waiting one first, and reports its queue 200 ms late. No network and no wall clock.
#include "admission/AnswerLateness.h"
#include "admission/OrganisationShares.h"
#include "admission/PromptMix.h"
#include "admission/RequestRank.h"
#include "admission/WaitForCapacity.h"
#include "admission/WaitingRequestLimit.h"
#include "relay/EngineForecast.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t vmCount = 20;
constexpr int engineCount = 12;
constexpr int probedEngines = 4;
constexpr std::int64_t prefillMs = 1000;
constexpr std::int64_t reportAgeMs = 200;
constexpr std::int64_t stepMs = 10;
constexpr EnginePace pace { prefillMs / 8000.0, 8000 };
constexpr EngineWork work { 8000, 560 };

enum class Order { FirstComeFirstServed, StrictRank, LateAnswersLast };

struct Kind {
    unsigned rank;
    Milliseconds objective;
};
constexpr std::array<Kind, 2> kinds { { { 0, Milliseconds { 4000 } }, { 2, Milliseconds { 10000 } } } };

struct Prompt {
    std::int64_t arrivedAt;
    std::size_t kind;
};

struct Load {
    // Prompts a second of each kind, as a share of what the engines read, in the surge and outside of it.
    std::array<double, 2> surge;
    std::array<double, 2> usual;
    std::int64_t surgeMs { 5000 };
};

// The surge begins after 2 s; arrivals end after 20 s.
std::vector<Prompt> promptsOf(const Load& load, unsigned seed)
{
    std::vector<Prompt> prompts;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform;
    for (std::int64_t now = 0; now < 20000; now += stepMs) {
        const bool isSurge = now >= 2000 && now < 2000 + load.surgeMs;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            const auto perStep = (isSurge ? load.surge : load.usual)[kind] * engineCount * stepMs / prefillMs;
            if (uniform(random) < perStep)
                prompts.push_back({ now, kind });
        }
    }
    return prompts;
}

struct Result {
    std::array<double, 2> inTime {};
    double share(std::size_t kind) const { return inTime.at(kind); }
};

class Engines {
public:
    explicit Engines(unsigned seed)
        : m_random(seed)
    {
    }

    // Chooses an engine as EngineChoice does: one of those in time if there are any, then the lowest delay.
    std::size_t choose(std::int64_t timeLeft, double aheadShare, Milliseconds& forecast)
    {
        std::optional<std::size_t> best;
        std::pair<bool, Milliseconds> lowest;
        for (int i = 0; i < probedEngines; ++i) {
            const auto engine = m_random() % engineCount;
            const auto expected = forecastFirstEvent(work, m_reports.at(engine), 0, pace, aheadShare);
            const std::pair cost { expected.count() > timeLeft, forecastDelay(work, m_reports.at(engine), 0, pace) };
            if (!best || cost < lowest) {
                best = engine;
                lowest = cost;
                forecast = expected;
            }
        }
        return *best;
    }

    void send(std::size_t engine, unsigned priority, std::size_t prompt)
    {
        m_queues.at(engine).insert({ priority, prompt });
    }

    template <typename OnRead> void advance(std::int64_t now, const OnRead& onRead)
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            if (m_reading.at(i) && now >= m_readUntil.at(i)) {
                onRead(*m_reading.at(i));
                m_reading.at(i).reset();
            }
            if (!m_reading.at(i) && !m_queues.at(i).empty()) {
                m_reading.at(i) = m_queues.at(i).begin()->second;
                m_queues.at(i).erase(m_queues.at(i).begin());
                m_readUntil.at(i) = now + prefillMs;
            }
        }
        if (now % reportAgeMs == 0) {
            m_reports = m_current;
            for (std::size_t i = 0; i < engineCount; ++i)
                m_current.at(i) = { m_reading.at(i) ? 1U : 0U, static_cast<std::uint32_t>(m_queues.at(i).size()) };
        }
    }

private:
    std::mt19937 m_random;
    std::array<std::set<std::pair<unsigned, std::size_t>>, engineCount> m_queues;
    std::array<std::optional<std::size_t>, engineCount> m_reading;
    std::array<std::int64_t, engineCount> m_readUntil {};
    std::array<EngineReport, engineCount> m_current;
    std::array<EngineReport, engineCount> m_reports;
};

unsigned priorityFor(Order order, const Kind& kind, bool isLate)
{
    if (order == Order::FirstComeFirstServed)
        return defaultRequestRank;
    return enginePriority(kind.rank, { .isLate = isLate && order == Order::LateAnswersLast });
}

// Without a share, each VM takes it from its own waiting prompts.
Result replay(const Load& load, Order order, std::optional<double> fixedShare = std::nullopt)
{
    Result result;
    std::array<double, 2> total {};
    for (unsigned seed = 1; seed <= 10; ++seed) {
        const auto prompts = promptsOf(load, seed);
        Engines engines(seed);
        std::vector<std::shared_ptr<PromptMix>> mixes(vmCount);
        for (auto& mix : mixes)
            mix = std::make_shared<PromptMix>();
        std::vector<std::unique_ptr<PromptMix::Scope>> waiting(prompts.size());
        std::size_t next = 0;
        for (std::int64_t now = 0; now < 60000; now += stepMs) {
            for (; next < prompts.size() && prompts[next].arrivedAt <= now; ++next) {
                const auto& kind = kinds.at(prompts[next].kind);
                const auto& mix = mixes.at(next % vmCount);
                const auto aheadShare = fixedShare.value_or(mix->aheadShare(kind.rank));
                Milliseconds forecast { 0 };
                const auto engine = engines.choose(kind.objective.count(), aheadShare, forecast);
                const StreamState state {
                    .firstAttemptAt = Milliseconds { now }, .objective = kind.objective, .firstEventForecast = forecast
                };
                const bool isLate = latenessOf(state, Milliseconds { now }) != Lateness::InTime;
                const auto priority = priorityFor(order, kind, isLate);
                engines.send(engine, priority, next);
                waiting[next] = std::make_unique<PromptMix::Scope>(mix, priority);
                ++total.at(prompts[next].kind);
            }
            engines.advance(now, [&](std::size_t prompt) {
                waiting[prompt].reset();
                const auto took = now - prompts[prompt].arrivedAt;
                const auto kind = prompts[prompt].kind;
                result.inTime.at(kind) += took <= kinds.at(kind).objective.count() ? 1 : 0;
            });
        }
    }
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        result.inTime.at(kind) /= total.at(kind);
    return result;
}

// More prompts than the engines can read for 5 s: twice as many, half of them of each kind.
constexpr Load bothSurge { { 1, 1 }, { 0.35, 0.35 } };
// The urgent kind alone exceeds the engines.
constexpr Load urgentSurge { { 2, 0.35 }, { 0.35, 0.35 } };
// A lasting overload, most of it urgent.
constexpr Load longOverload { { 1.3, 0.6 }, { 0.35, 0.35 }, 12000 };

} // namespace

TEST_GROUP(RankReplay) {};

// Guards against urgent streams that wait behind less urgent ones: in order of arrival, half of them are late.
TEST(RankReplay, RankServesTheUrgentKindWhenBothKindsSurge)
{
    CHECK(replay(bothSurge, Order::FirstComeFirstServed).share(0) < 0.55);
    const auto ranked = replay(bothSurge, Order::LateAnswersLast);
    CHECK(ranked.share(0) > 0.93);
    CHECK(ranked.share(1) > 0.85);
}

// Guards against late answers of the urgent kind that delay answers of both kinds that can be in time.
TEST(RankReplay, LateAnswersLastBeatsStrictRankForBothKinds)
{
    for (const auto& load : { urgentSurge, longOverload }) {
        const auto strict = replay(load, Order::StrictRank);
        const auto lateLast = replay(load, Order::LateAnswersLast);
        CHECK(lateLast.share(0) > strict.share(0) + 0.03);
        CHECK(lateLast.share(1) > strict.share(1) + 0.15);
    }
}

// Guards against a forecast that counts all waiting prompts, most of which a prompt in time overtakes, and declares
// nearly all urgent answers late.
TEST(RankReplay, OwnWaitingPromptsShowHowManyAreAhead)
{
    for (const auto& load : { bothSurge, urgentSurge, longOverload }) {
        const auto own = replay(load, Order::LateAnswersLast);
        CHECK(own.share(0) > replay(load, Order::LateAnswersLast, 1.0).share(0) + 0.2);
        CHECK_TEXT(own.share(0) > replay(load, Order::LateAnswersLast, 0.5).share(0), "half of them");
        CHECK_TEXT(own.share(1) > replay(load, Order::LateAnswersLast, 0.0).share(1), "none of them");
    }
}

namespace {

// Shares of answers in time of nine small organisations and of one that sends ten times as much as each of them, all of
// one rank with an objective of 4 s. Together they send 1.5 times what the engines read for 10 s. An organisation above
// the given multiple of its fair share is less urgent by one level; none is without a multiple.
Result replayLargeOrganisation(std::optional<double> toleratedShare)
{
    constexpr int smallOrganisations = 9;
    constexpr std::int64_t objective = 4000;
    Result result;
    std::array<double, 2> total {};
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform;
        Engines engines(seed);
        OrganisationShares shares;
        std::vector<Prompt> prompts;
        for (std::int64_t now = 0; now < 40000; now += stepMs) {
            const double perStep = (now < 10000 ? 1.5 : 0.0) * engineCount * stepMs / prefillMs;
            if (uniform(random) < perStep) {
                const auto draw = uniform(random) * (10 + smallOrganisations);
                const bool isLarge = draw < 10;
                const auto name = isLarge ? "large" : "small" + std::to_string(static_cast<int>(draw));
                Milliseconds forecast { 0 };
                const auto engine = engines.choose(objective, 0.5, forecast);
                const StreamState state { .objective = Milliseconds { objective }, .firstEventForecast = forecast };
                const ShareKey key { "llm", 1, name };
                const bool isAbove = toleratedShare && lacksRoom(state)
                    && shares.isAboveShare(key, Milliseconds { now }, *toleratedShare);
                shares.note(key, 8560, Milliseconds { now });
                engines.send(engine, enginePriority(1, { .isAboveShare = isAbove }), prompts.size());
                prompts.push_back({ now, isLarge ? 1U : 0U });
                ++total.at(prompts.back().kind);
            }
            engines.advance(now, [&](std::size_t prompt) {
                result.inTime.at(prompts[prompt].kind) += now - prompts[prompt].arrivedAt <= objective ? 1 : 0;
            });
        }
    }
    for (std::size_t kind = 0; kind < 2; ++kind)
        result.inTime.at(kind) /= total.at(kind);
    return result;
}

} // namespace

// Guards against a large organisation that makes the answers of all others late.
TEST(RankReplay, SmallOrganisationsAreServedBesideALargeOne)
{
    const auto without = replayLargeOrganisation(std::nullopt);
    const auto with = replayLargeOrganisation(OrganisationShares::toleratedShare);
    CHECK(without.share(0) < 0.6);
    CHECK(with.share(0) > 0.8);
    CHECK_TEXT(with.share(1) > 0.4, "the large organisation must not starve");
}

namespace {

// A service with 12 places and 60 ms a call returns after 2 s. 900 less urgent callers arrive in the first second and
// 100 urgent ones in the next; each has 4 s and retries 10 ms after a refusal. Returns the shares that are served.
Result replayImmediateRetries(bool hasRanks)
{
    struct Caller {
        RequestRank rank;
        WaitingCall call;
        std::int64_t nextTryAt { 0 };
        std::optional<WaitingRequestLimit::Place> place;
        bool isServed { false };
    };
    std::vector<Caller> callers;
    for (int i = 0; i < 1000; ++i) {
        const bool isUrgent = i >= 900;
        const auto arrival = isUrgent ? 1000 + 10 * (i - 900) : i;
        callers.push_back({ { isUrgent ? 0U : 6U, hasRanks },
            { Milliseconds { arrival }, Milliseconds { arrival + 4000 } }, arrival, std::nullopt });
    }
    WaitingRequestLimit limit;
    std::array<std::int64_t, 12> busyUntil {};
    std::mt19937 random(1);
    std::uniform_real_distribution<double> uniform;
    for (std::int64_t now = 0; now < 6000; ++now) {
        for (auto& caller : callers) {
            if (caller.isServed || caller.nextTryAt > now || caller.call.deadline.count() < now)
                continue;
            if (caller.place)
                limit.leave(*std::exchange(caller.place, std::nullopt));
            const auto place = std::min_element(busyUntil.begin(), busyUntil.end());
            if (now >= 2000 && *place <= now) {
                *place = now + 60;
                caller.isServed = now + 60 <= caller.call.deadline.count();
                continue;
            }
            caller.call.rank = caller.rank;
            const Milliseconds instant { now };
            const auto wait = waitForCapacity(caller.call, Milliseconds { 60 }, uniform(random), instant);
            ++caller.call.rounds;
            if (wait.waits) {
                caller.place = limit.enter({ 1, { caller.rank, caller.call.arrivedAt } }, instant, [&caller, now] {
                    caller.place.reset();
                    caller.nextTryAt = now + 10;
                });
            }
            // A caller that is refused comes back as a new request.
            caller.nextTryAt = now + (caller.place ? wait.pause.count() : 10);
            if (!caller.place)
                caller.call = { instant, caller.call.deadline, 0 };
        }
    }
    Result result;
    for (const auto& caller : callers)
        result.inTime.at(caller.rank.value > 0 ? 1 : 0) += caller.isServed ? 1 : 0;
    return { { result.inTime[0] / 100, result.inTime[1] / 900 } };
}

} // namespace

// Guards against urgent callers that are lost because the set of waiting requests is full of callers who retry at once.
// Ranks do not improve the urgent share in this load: a refused caller tries more often than a waiting one.
TEST(RankReplay, UrgentCallersAreServedBesideCallersWhoRetryAtOnce)
{
    const auto ranked = replayImmediateRetries(true);
    CHECK(ranked.share(0) >= 0.9);
    CHECK(ranked.share(0) > ranked.share(1) + 0.3);
    CHECK(ranked.share(1) > replayImmediateRetries(false).share(1));
}
