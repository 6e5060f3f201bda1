#include "model/LimitModel.h"

#include "common/NameHash.h"
#include "limits/EndpointKeepers.h"
#include "limits/KeeperReachability.h"
#include "limits/LimitKeeper.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

namespace {

// The endpoint names its first limit after this time; the play ends so long after that.
constexpr Milliseconds limitFrom { 2000 };
constexpr Milliseconds playLength { 32'000 };
constexpr Milliseconds answerTime { 30 };
constexpr Milliseconds askLimit { 60 };
// Requests in which a VM may wait for its place, and how long.
constexpr Milliseconds patience { 700 };
constexpr Milliseconds demandToldEvery { 500 };
constexpr Milliseconds demandWindow { 2000 };
constexpr Milliseconds restartTime { 300 };
constexpr std::size_t zoneCount = 4;
constexpr Milliseconds window { 4000 };
constexpr double windowSeconds = 4;
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
constexpr Milliseconds contactTime { 3000 };
constexpr Milliseconds knownAfter { 500 };
constexpr double fewestRequests = 6;
constexpr double shareOfTheBusiest = 0.9;

// A span in which the endpoint names one limit, nothing for none.
struct LimitSpan {
    Milliseconds from;
    std::optional<double> perSecond;
    unsigned start;
};

struct Arrival {
    Milliseconds at;
    std::size_t vm;
    // From a VM that had been told the limit for long enough, and the same while nothing had struck it.
    bool isTold;
    bool isCounted;
};

struct Vm {
    bool isUp { true };
    Milliseconds pausedUntil { 0 };
    // Cut off from the other VMs.
    Milliseconds cutUntil { 0 };
    Milliseconds struckUntil { 0 };
    unsigned incarnation { 0 };
    // What it has heard of the endpoint's start, and when its own answers first named this limit.
    unsigned start { 0 };
    KnownLimit limit;
    std::optional<Milliseconds> toldAt;
    Milliseconds noPermitUntil { 0 };
    LimitKeeper keeper;
    LimitKeeper keeperAlone;
    KeeperReachability watch;
    Milliseconds startedAt { 0 };
    // For the ways without one that counts.
    PermitSchedule own { Milliseconds { 0 } };
    double ownRate { 0 };
    std::vector<Milliseconds> requests;
    double requestShare { 0 };
    bool isUsed { false };
};

class Play {
public:
    explicit Play(const LimitPlay&);
    LimitOutcome run();

private:
    using Action = std::function<void()>;
    struct Event {
        Milliseconds at;
        std::uint64_t order;
        Action action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void after(Milliseconds pause, Action action) { m_events.push({ m_now + pause, m_order++, std::move(action) }); }
    double drawn() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Milliseconds between(int least, int most)
    {
        return Milliseconds { std::uniform_int_distribution<int>(least, most)(m_random) };
    }
    std::size_t anyVm() { return std::uniform_int_distribution<std::size_t>(0, m_play.vmCount - 1)(m_random); }

    Vm freshVm(std::size_t number) const;
    void drawLimits();
    void drawTroubles();
    void strike(std::size_t vm, Milliseconds time);
    const LimitSpan& spanAt(Milliseconds at) const;

    void requestLater();
    void requestAt(std::size_t vm);
    void askForPermit(std::size_t vm, std::size_t rank, Milliseconds begunAt);
    void permitAnswered(std::size_t vm, unsigned incarnation, const PermitAnswer&);
    double shareAt(std::size_t vm, std::size_t rank);
    bool reaches(std::size_t vm, std::size_t other) const;
    void sendBySchedule(std::size_t vm);
    void tellDemand();
    void send(std::size_t vm);
    void answered(std::size_t vm, unsigned incarnation, Milliseconds sentAt, const LimitSpan& said, bool isTurnedAway);
    void refused(std::size_t vm) { m_refusals.push_back({ m_now, vm, false, false }); }
    std::string endpointName(std::size_t vm) const;
    std::optional<double> believed(const Vm& vm) const { return vm.limit.perSecond(); }

    double allowed(Milliseconds from, Milliseconds to) const;
    void settleBound(LimitOutcome&) const;
    void settleUse(LimitOutcome&) const;

    const LimitPlay m_play;
    std::mt19937_64 m_random;
    Milliseconds m_now { 0 };
    std::uint64_t m_order { 0 };
    std::priority_queue<Event> m_events;
    std::vector<LimitSpan> m_spans;
    std::vector<Vm> m_vms;
    std::vector<std::string> m_names;
    std::vector<std::size_t> m_keepers;
    std::vector<Arrival> m_arrivals;
    std::vector<Arrival> m_refusals;
    double m_requestsPerSecond;
    std::size_t m_busiest { 0 };
    std::uint64_t m_calls { 0 };
};

Play::Play(const LimitPlay& play)
    : m_play(play)
    , m_random(play.seed)
    , m_requestsPerSecond(std::max(play.demand * play.perSecond, fewestRequests))
{
    std::vector<KeeperCandidate> candidates;
    for (std::size_t i = 0; i < play.vmCount; ++i) {
        m_names.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7200");
        candidates.push_back({ m_names.back(), "zone-" + std::to_string(i % zoneCount) });
    }
    m_keepers = chooseEndpointKeepers("endpoint-" + std::to_string(play.seed), candidates);
    m_busiest = anyVm();
    for (std::size_t i = 0; i < play.vmCount; ++i)
        m_vms.push_back(freshVm(i));
    drawLimits();
    if (play.hasTrouble)
        drawTroubles();
}

Vm Play::freshVm(std::size_t number) const
{
    Vm vm;
    vm.keeperAlone = LimitKeeper(fractionOfName(m_names[number]));
    vm.requestShare = 1.0 / static_cast<double>(m_play.vmCount);
    return vm;
}

void Play::drawLimits()
{
    m_spans.push_back({ Milliseconds { 0 }, std::nullopt, 0 });
    m_spans.push_back({ limitFrom, m_play.perSecond, 0 });
    if (!m_play.hasTrouble)
        return;
    constexpr std::array<double, 4> factors { 0.3, 2, 0, 1 };
    unsigned start = 0;
    for (auto at = limitFrom + between(4000, 9000); at < playLength; at += between(4000, 9000)) {
        const auto draw = drawn();
        if (draw < 0.2) {
            m_spans.push_back({ at, std::nullopt, start });
        } else if (draw < 0.4) {
            // It starts again under its id, and names a limit a little later.
            m_spans.push_back({ at, std::nullopt, ++start });
            m_spans.push_back({ at + between(300, 2000), m_play.perSecond, start });
        } else {
            const auto factor = factors.at(static_cast<std::size_t>(drawn() * factors.size()));
            m_spans.push_back({ at, factor * m_play.perSecond, start });
        }
    }
}

void Play::drawTroubles()
{
    for (auto at = between(0, 6000); at < playLength; at += between(800, 6000)) {
        const auto draw = drawn();
        // The VM that counts, or the one that stands in for it, is struck as often as all others together.
        const auto struck = drawn() < 0.5 ? m_keepers[drawn() < 0.7 ? 0 : m_keepers.size() - 1] : anyVm();
        const auto time = between(200, 5000);
        after(at, [this, draw, struck, time] {
            auto& vm = m_vms[struck];
            if (draw < 0.4) {
                const auto incarnation = vm.incarnation + 1;
                vm = freshVm(struck);
                vm.isUp = false;
                vm.incarnation = incarnation;
                vm.startedAt = m_now + restartTime;
                strike(struck, restartTime);
                after(restartTime, [&vm] { vm.isUp = true; });
            } else if (draw < 0.7) {
                vm.pausedUntil = m_now + time;
                strike(struck, time);
            } else {
                // With a few others, as a zone goes.
                for (std::size_t i = 0; i < 1 + m_play.vmCount / 4; ++i) {
                    const auto other = (struck + zoneCount * i) % m_play.vmCount;
                    m_vms[other].cutUntil = m_now + time;
                    strike(other, time);
                }
            }
        });
    }
}

void Play::strike(std::size_t vm, Milliseconds time)
{
    m_vms[vm].struckUntil = std::max(m_vms[vm].struckUntil, m_now + time + contactTime);
}

const LimitSpan& Play::spanAt(Milliseconds at) const
{
    const auto next = std::upper_bound(m_spans.begin(), m_spans.end(), at,
        [](Milliseconds instant, const LimitSpan& span) { return instant < span.from; });
    return *std::prev(next);
}

std::string Play::endpointName(std::size_t vm) const { return "e@" + std::to_string(m_vms[vm].start); }

LimitOutcome Play::run()
{
    requestLater();
    if (m_play.way == LimitWay::DemandShares)
        tellDemand();
    while (!m_events.empty() && m_events.top().at < playLength) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    LimitOutcome outcome;
    settleBound(outcome);
    settleUse(outcome);
    outcome.callsPerSecond = static_cast<double>(m_calls) * 1000 / static_cast<double>(playLength.count());
    return outcome;
}

void Play::requestLater()
{
    const auto pause = std::exponential_distribution<double>(m_requestsPerSecond)(m_random) * 1000;
    after(Milliseconds { static_cast<std::int64_t>(pause) }, [this] {
        requestAt(m_play.isUneven && drawn() < shareOfTheBusiest ? m_busiest : anyVm());
        requestLater();
    });
}

void Play::requestAt(std::size_t number)
{
    auto& vm = m_vms[number];
    if (!vm.isUp || m_now < vm.pausedUntil)
        return;
    if (m_play.way == LimitWay::DemandShares)
        vm.requests.push_back(m_now);
    if (!believed(vm))
        send(number);
    else if (m_play.way != LimitWay::OneCounts)
        sendBySchedule(number);
    else if (m_now < vm.noPermitUntil)
        refused(number);
    else
        askForPermit(number, 0, m_now);
}

bool Play::reaches(std::size_t number, std::size_t other) const
{
    const auto isOpen = [this](const Vm& vm) { return vm.isUp && m_now >= vm.pausedUntil && m_now >= vm.cutUntil; };
    return isOpen(m_vms[number]) && isOpen(m_vms[other]);
}

double Play::shareAt(std::size_t number, std::size_t rank)
{
    if (m_play.planted == PlantedLimitFault::WholeSubstitutes)
        return LimitKeeper::primaryShare;
    auto& vm = m_vms[number];
    if (vm.incarnation > 0 && m_now < vm.startedAt + KeeperReachability::presumedGoneAfter)
        return LimitKeeper::substituteShare;
    std::vector<std::string> before;
    for (std::size_t i = 0; i < rank && m_keepers[i] != number; ++i) {
        const auto& name = m_names[m_keepers[i]];
        before.push_back(name);
        if (!vm.watch.isSkipped(name, m_now)) {
            ++m_calls;
            vm.watch.noteAnswer(name, reaches(number, m_keepers[i]), m_now);
        }
    }
    return vm.watch.shareAsSubstitute(before, m_now);
}

void Play::askForPermit(std::size_t number, std::size_t rank, Milliseconds begunAt)
{
    auto& vm = m_vms[number];
    while (rank < m_keepers.size() && m_keepers[rank] != number && vm.watch.isSkipped(m_names[m_keepers[rank]], m_now))
        ++rank;
    const LimitReport report { believed(vm), m_now - vm.limit.heardAt() };
    const PermitRequest request { endpointName(number), report, drawn() < 0.5 ? patience : Milliseconds { 0 } };
    const auto incarnation = vm.incarnation;
    if (m_play.planted == PlantedLimitFault::EachCounts) {
        permitAnswered(number, incarnation, vm.keeper.ask(request, LimitKeeper::primaryShare, m_now));
        return;
    }
    if (rank >= m_keepers.size() || m_keepers[rank] == number) {
        const auto part = LimitKeeper::substituteShare / static_cast<double>(m_play.vmCount);
        permitAnswered(number, incarnation,
            rank < m_keepers.size() ? vm.keeper.ask(request, shareAt(number, rank), m_now)
                                    : vm.keeperAlone.ask(request, part, m_now));
        return;
    }
    ++m_calls;
    const auto there = between(1, 2);
    after(there, [this, number, rank, request, incarnation, begunAt] {
        const auto keeper = m_keepers[rank];
        if (!reaches(number, keeper)) {
            after(askLimit, [this, number, rank, incarnation, begunAt] {
                auto& asker = m_vms[number];
                if (asker.incarnation != incarnation || !asker.isUp)
                    return;
                asker.watch.noteAnswer(m_names[m_keepers[rank]], false, m_now);
                askForPermit(number, rank + 1, begunAt);
            });
            return;
        }
        const auto answer = m_vms[keeper].keeper.ask(request, shareAt(keeper, rank), m_now);
        after(between(1, 2), [this, number, keeper, incarnation, answer] {
            m_vms[number].watch.noteAnswer(m_names[keeper], true, m_now);
            permitAnswered(number, incarnation, answer);
        });
    });
}

void Play::permitAnswered(std::size_t number, unsigned incarnation, const PermitAnswer& answer)
{
    auto& vm = m_vms[number];
    if (vm.incarnation != incarnation || !vm.isUp)
        return;
    if (m_now < vm.pausedUntil) {
        after(vm.pausedUntil - m_now,
            [this, number, incarnation, answer] { permitAnswered(number, incarnation, answer); });
        return;
    }
    vm.limit.notePeerReport(answer.report.perSecond, m_now - answer.report.age);
    if (!answer.isGranted) {
        vm.noPermitUntil = m_now + answer.wait;
        refused(number);
        return;
    }
    const auto before = believed(vm);
    after(answer.wait, [this, number, incarnation, before] {
        auto& sender = m_vms[number];
        if (sender.incarnation != incarnation || !sender.isUp || m_now < sender.pausedUntil)
            return;
        const auto present = believed(sender);
        if (present && (!before || *present < *before))
            return;
        send(number);
    });
}

// The ways in which each VM keeps a part for itself.
void Play::sendBySchedule(std::size_t number)
{
    auto& vm = m_vms[number];
    const auto limit = *believed(vm);
    double rate = limit / static_cast<double>(m_play.vmCount);
    if (m_play.way == LimitWay::DemandShares)
        rate = limit * vm.requestShare;
    if (m_play.way == LimitWay::BackOff) {
        if (vm.ownRate <= 0)
            vm.ownRate = limit / 2;
        vm.ownRate = std::min(vm.ownRate, limit);
        rate = vm.ownRate;
    }
    vm.own.setRate(rate * LimitKeeper::primaryShare, m_now);
    if (vm.own.waitFor(m_now) > Milliseconds { 0 }) {
        refused(number);
        return;
    }
    vm.own.take(m_now);
    send(number);
}

void Play::tellDemand()
{
    double all = 0;
    std::vector<double> counts(m_play.vmCount, 0);
    for (std::size_t i = 0; i < m_play.vmCount; ++i) {
        std::erase_if(m_vms[i].requests, [this](Milliseconds at) { return m_now - at > demandWindow; });
        counts[i] = static_cast<double>(m_vms[i].requests.size());
        all += counts[i];
    }
    for (std::size_t i = 0; i < m_play.vmCount; ++i) {
        const bool hears = m_vms[i].isUp && m_now >= m_vms[i].pausedUntil && m_now >= m_vms[i].cutUntil;
        if (hears && all > 0)
            m_vms[i].requestShare = counts[i] / all;
    }
    // Each tells all others.
    if (m_now >= limitFrom)
        m_calls += m_play.vmCount * (m_play.vmCount - 1);
    after(demandToldEvery, [this] { tellDemand(); });
}

void Play::send(std::size_t number)
{
    auto& vm = m_vms[number];
    const auto sentAt = m_now;
    const auto incarnation = vm.incarnation;
    after(between(1, 2), [this, number, sentAt, incarnation] {
        const auto& span = spanAt(m_now);
        auto& sender = m_vms[number];
        if (sender.start != span.start) {
            // The list of endpoints names the new start.
            sender.start = span.start;
            sender.toldAt.reset();
            sender.limit = {};
        }
        const bool isTold = sender.toldAt && m_now - *sender.toldAt >= knownAfter;
        const bool isKept = span.perSecond && isTold;
        m_arrivals.push_back({ m_now, number, isKept, isKept && m_now >= sender.struckUntil });
        const auto isOld = [this](const Arrival& arrival) { return m_now - arrival.at >= Milliseconds { 1000 }; };
        const auto recent = std::find_if(m_arrivals.rbegin(), m_arrivals.rend(), isOld) - m_arrivals.rbegin();
        const bool isTurnedAway = m_play.way == LimitWay::BackOff && span.perSecond
            && static_cast<double>(recent) > std::max(*span.perSecond, 1.0);
        after(answerTime, [this, number, incarnation, sentAt, span, isTurnedAway] {
            answered(number, incarnation, sentAt, span, isTurnedAway);
        });
    });
}

void Play::answered(
    std::size_t number, unsigned incarnation, Milliseconds sentAt, const LimitSpan& said, bool isTurnedAway)
{
    auto& vm = m_vms[number];
    if (vm.incarnation != incarnation || !vm.isUp || vm.start != said.start)
        return;
    if (m_now < vm.pausedUntil) {
        after(vm.pausedUntil - m_now, [this, number, incarnation, sentAt, said, isTurnedAway] {
            answered(number, incarnation, sentAt, said, isTurnedAway);
        });
        return;
    }
    const bool isIgnored = m_play.planted == PlantedLimitFault::KeepsOldLimit && vm.limit.perSecond() && said.perSecond;
    const auto change = isIgnored ? LimitChange::None : vm.limit.noteAnswer(said.perSecond, sentAt, m_now);
    if (said.perSecond)
        vm.toldAt = vm.toldAt.value_or(m_now);
    else
        vm.toldAt.reset();
    vm.ownRate = isTurnedAway ? vm.ownRate / 2 : vm.ownRate * 1.05;
    if (change == LimitChange::None || m_play.way != LimitWay::OneCounts)
        return;
    for (const auto keeper : m_keepers) {
        m_calls += keeper != number;
        if (keeper == number || reaches(number, keeper))
            m_vms[keeper].keeper.reportLimit(endpointName(number), { vm.limit.perSecond(), Milliseconds { 0 } }, m_now);
    }
}

// What the endpoint may get within the span. Where a limit falls, the one before holds for as long as VMs that have
// heard of the new one do not count.
double Play::allowed(Milliseconds from, Milliseconds to) const
{
    const auto overlap = [from, to](Milliseconds begin, Milliseconds end) {
        return static_cast<double>(std::max(std::min(end, to) - std::max(begin, from), Milliseconds { 0 }).count())
            / 1000;
    };
    double sum = 0;
    for (std::size_t i = 0; i < m_spans.size(); ++i) {
        const auto end = i + 1 < m_spans.size() ? m_spans[i + 1].from : playLength;
        const auto limit = m_spans[i].perSecond.value_or(0);
        sum += limit * overlap(m_spans[i].from, end);
        const auto before = i > 0 ? m_spans[i - 1].perSecond.value_or(0) : 0;
        if (before > limit)
            sum += (before - limit) * overlap(m_spans[i].from, std::min(end, m_spans[i].from + knownAfter));
    }
    return limitFactor * sum + limitSlack;
}

void Play::settleBound(LimitOutcome& outcome) const
{
    std::vector<Milliseconds> counted;
    for (const auto& arrival : m_arrivals) {
        if (arrival.isCounted)
            counted.push_back(arrival.at);
    }
    for (std::size_t first = 0, last = 0; last < counted.size(); ++last) {
        while (counted[last] - counted[first] >= window)
            ++first;
        // The time from which this start of the endpoint has named limits without a break.
        const auto at = counted[last];
        auto since = at;
        for (auto span = m_spans.rbegin(); span != m_spans.rend(); ++span) {
            if (span->from > at)
                continue;
            if (!span->perSecond)
                break;
            since = span->from;
        }
        if (at < since + contactTime)
            continue;
        const auto count = static_cast<double>(last - first + 1);
        const auto most = allowed(at - window, at);
        outcome.worstExcess = std::max(outcome.worstExcess, count - most);
        outcome.worstShare = std::max(outcome.worstShare, count / most);
    }
}

// Seconds in which requests were refused, from two seconds after the limit was named.
void Play::settleUse(LimitOutcome& outcome) const
{
    double taken = 0;
    double possible = 0;
    for (auto from = limitFrom + Milliseconds { 2000 }; from + window <= playLength; from += window) {
        const auto isWithin = [&](const Arrival& arrival) { return arrival.at >= from && arrival.at < from + window; };
        if (std::none_of(m_refusals.begin(), m_refusals.end(), isWithin))
            continue;
        taken += static_cast<double>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
            [&isWithin](const Arrival& arrival) { return arrival.isTold && isWithin(arrival); }));
        possible += (allowed(from, from + window) - limitSlack) / limitFactor;
    }
    outcome.use = possible > 0 ? taken / possible : 1;
}

} // namespace

LimitOutcome playLimit(const LimitPlay& play) { return Play(play).run(); }

} // namespace lupinknot::internal
