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

// The endpoint states its first limit at this time; the simulation ends at simulatedTime.
constexpr Milliseconds limitStartsAt { 2000 };
constexpr Milliseconds simulatedTime { 32'000 };
constexpr Milliseconds responseTime { 30 };
constexpr Milliseconds permitCallTimeout { 60 };
// How long a request may wait for its send slot; half of the requests do not wait at all.
constexpr Milliseconds sendSlotTimeout { 700 };
constexpr Milliseconds demandExchangeInterval { 500 };
constexpr Milliseconds demandWindow { 2000 };
constexpr Milliseconds restartTime { 300 };
constexpr std::size_t zoneCount = 4;
constexpr Milliseconds window { 4000 };
constexpr double windowSeconds = 4;
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
constexpr Milliseconds recoveryTime { 3000 };
constexpr Milliseconds knownAfter { 500 };
constexpr double minRequestsPerSecond = 6;
constexpr double busiestVmShare = 0.9;

// A time span in which the endpoint states one limit; perSecond is empty if it states none.
struct LimitSpan {
    Milliseconds from;
    std::optional<double> perSecond;
    unsigned endpointIncarnation;
};

struct Arrival {
    Milliseconds at;
    std::size_t vm;
    // knowsLimit: the sender had known the limit for at least knownAfter. isCounted: it also had no recent fault.
    bool knowsLimit;
    bool isCounted;
};

struct Vm {
    bool isUp { true };
    Milliseconds pausedUntil { 0 };
    // Until this time the VM is disconnected from the other VMs.
    Milliseconds disconnectedUntil { 0 };
    Milliseconds affectedUntil { 0 };
    unsigned incarnation { 0 };
    // The endpoint's incarnation that this VM knows, and when a response to this VM first stated a limit.
    unsigned endpointIncarnation { 0 };
    KnownLimit limit;
    std::optional<Milliseconds> limitKnownAt;
    Milliseconds noPermitUntil { 0 };
    LimitKeeper keeper;
    LimitKeeper ownKeeper;
    KeeperReachability reachability;
    Milliseconds startedAt { 0 };
    // Used when the limit is enforced without a limit keeper.
    PermitSchedule ownSchedule { Milliseconds { 0 } };
    double ownRate { 0 };
    std::vector<Milliseconds> requests;
    double requestShare { 0 };
    bool isUsed { false };
};

class LimitSimulation {
public:
    explicit LimitSimulation(const LimitScenario&);
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
    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Milliseconds between(int least, int most)
    {
        return Milliseconds { std::uniform_int_distribution<int>(least, most)(m_random) };
    }
    std::size_t randomVm() { return std::uniform_int_distribution<std::size_t>(0, m_scenario.vmCount - 1)(m_random); }

    Vm newVm(std::size_t number) const;
    void drawLimits();
    void scheduleFaults();
    void noteFault(std::size_t vm, Milliseconds time);
    const LimitSpan& spanAt(Milliseconds at) const;

    void scheduleNextRequest();
    void handleRequest(std::size_t vm);
    void askForPermit(std::size_t vm, std::size_t rank, Milliseconds begunAt);
    void handlePermitAnswer(std::size_t vm, unsigned incarnation, const PermitAnswer&);
    double shareAt(std::size_t vm, std::size_t rank);
    bool reaches(std::size_t vm, std::size_t other) const;
    void sendBySchedule(std::size_t vm);
    void exchangeDemand();
    void send(std::size_t vm);
    void handleResponse(
        std::size_t vm, unsigned incarnation, Milliseconds sentAt, const LimitSpan& stated, bool isRejected);
    void refused(std::size_t vm) { m_refusals.push_back({ m_now, vm, false, false }); }
    std::string endpointName(std::size_t vm) const;
    std::optional<double> knownLimit(const Vm& vm) const { return vm.limit.perSecond(); }

    double allowed(Milliseconds from, Milliseconds to) const;
    void evaluateBound(LimitOutcome&) const;
    void evaluateUse(LimitOutcome&) const;

    const LimitScenario m_scenario;
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

LimitSimulation::LimitSimulation(const LimitScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_requestsPerSecond(std::max(scenario.demand * scenario.perSecond, minRequestsPerSecond))
{
    std::vector<KeeperCandidate> candidates;
    for (std::size_t i = 0; i < scenario.vmCount; ++i) {
        m_names.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7200");
        candidates.push_back({ m_names.back(), "zone-" + std::to_string(i % zoneCount) });
    }
    m_keepers = chooseEndpointKeepers("endpoint-" + std::to_string(scenario.seed), candidates);
    m_busiest = randomVm();
    for (std::size_t i = 0; i < scenario.vmCount; ++i)
        m_vms.push_back(newVm(i));
    drawLimits();
    if (scenario.hasFaults)
        scheduleFaults();
}

Vm LimitSimulation::newVm(std::size_t number) const
{
    Vm vm;
    vm.ownKeeper = LimitKeeper(fractionOfName(m_names[number]));
    vm.requestShare = 1.0 / static_cast<double>(m_scenario.vmCount);
    return vm;
}

void LimitSimulation::drawLimits()
{
    m_spans.push_back({ Milliseconds { 0 }, std::nullopt, 0 });
    m_spans.push_back({ limitStartsAt, m_scenario.perSecond, 0 });
    if (!m_scenario.hasFaults)
        return;
    constexpr std::array<double, 4> factors { 0.3, 2, 0, 1 };
    unsigned endpointIncarnation = 0;
    for (auto at = limitStartsAt + between(4000, 9000); at < simulatedTime; at += between(4000, 9000)) {
        const auto draw = randomUnit();
        if (draw < 0.2) {
            m_spans.push_back({ at, std::nullopt, endpointIncarnation });
        } else if (draw < 0.4) {
            // The endpoint restarts under the same id and states a limit a little later.
            m_spans.push_back({ at, std::nullopt, ++endpointIncarnation });
            m_spans.push_back({ at + between(300, 2000), m_scenario.perSecond, endpointIncarnation });
        } else {
            const auto factor = factors.at(static_cast<std::size_t>(randomUnit() * factors.size()));
            m_spans.push_back({ at, factor * m_scenario.perSecond, endpointIncarnation });
        }
    }
}

void LimitSimulation::scheduleFaults()
{
    for (auto at = between(0, 6000); at < simulatedTime; at += between(800, 6000)) {
        const auto draw = randomUnit();
        // Half of the faults hit the limit keeper or its last substitute.
        const auto faultyVm
            = randomUnit() < 0.5 ? m_keepers[randomUnit() < 0.7 ? 0 : m_keepers.size() - 1] : randomVm();
        const auto time = between(200, 5000);
        after(at, [this, draw, faultyVm, time] {
            auto& vm = m_vms[faultyVm];
            if (draw < 0.4) {
                const auto incarnation = vm.incarnation + 1;
                vm = newVm(faultyVm);
                vm.isUp = false;
                vm.incarnation = incarnation;
                vm.startedAt = m_now + restartTime;
                noteFault(faultyVm, restartTime);
                after(restartTime, [&vm] { vm.isUp = true; });
            } else if (draw < 0.7) {
                vm.pausedUntil = m_now + time;
                noteFault(faultyVm, time);
            } else {
                // Disconnects a group of VMs of one availability zone together.
                for (std::size_t i = 0; i < 1 + m_scenario.vmCount / 4; ++i) {
                    const auto other = (faultyVm + zoneCount * i) % m_scenario.vmCount;
                    m_vms[other].disconnectedUntil = m_now + time;
                    noteFault(other, time);
                }
            }
        });
    }
}

void LimitSimulation::noteFault(std::size_t vm, Milliseconds time)
{
    m_vms[vm].affectedUntil = std::max(m_vms[vm].affectedUntil, m_now + time + recoveryTime);
}

const LimitSpan& LimitSimulation::spanAt(Milliseconds at) const
{
    const auto next = std::upper_bound(m_spans.begin(), m_spans.end(), at,
        [](Milliseconds instant, const LimitSpan& span) { return instant < span.from; });
    return *std::prev(next);
}

std::string LimitSimulation::endpointName(std::size_t vm) const
{
    return "e@" + std::to_string(m_vms[vm].endpointIncarnation);
}

LimitOutcome LimitSimulation::run()
{
    scheduleNextRequest();
    if (m_scenario.enforcement == LimitEnforcement::DemandShares)
        exchangeDemand();
    while (!m_events.empty() && m_events.top().at < simulatedTime) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    LimitOutcome outcome;
    evaluateBound(outcome);
    evaluateUse(outcome);
    outcome.callsPerSecond = static_cast<double>(m_calls) * 1000 / static_cast<double>(simulatedTime.count());
    return outcome;
}

void LimitSimulation::scheduleNextRequest()
{
    const auto pause = std::exponential_distribution<double>(m_requestsPerSecond)(m_random) * 1000;
    after(Milliseconds { static_cast<std::int64_t>(pause) }, [this] {
        handleRequest(m_scenario.isUneven && randomUnit() < busiestVmShare ? m_busiest : randomVm());
        scheduleNextRequest();
    });
}

void LimitSimulation::handleRequest(std::size_t number)
{
    auto& vm = m_vms[number];
    if (!vm.isUp || m_now < vm.pausedUntil)
        return;
    if (m_scenario.enforcement == LimitEnforcement::DemandShares)
        vm.requests.push_back(m_now);
    if (!knownLimit(vm))
        send(number);
    else if (m_scenario.enforcement != LimitEnforcement::SingleKeeper)
        sendBySchedule(number);
    else if (m_now < vm.noPermitUntil)
        refused(number);
    else
        askForPermit(number, 0, m_now);
}

bool LimitSimulation::reaches(std::size_t number, std::size_t other) const
{
    const auto isOpen
        = [this](const Vm& vm) { return vm.isUp && m_now >= vm.pausedUntil && m_now >= vm.disconnectedUntil; };
    return isOpen(m_vms[number]) && isOpen(m_vms[other]);
}

double LimitSimulation::shareAt(std::size_t number, std::size_t rank)
{
    if (m_scenario.injectedFault == InjectedLimitFault::SubstituteIssuesWholeLimit)
        return LimitKeeper::primaryShare;
    auto& vm = m_vms[number];
    if (vm.incarnation > 0 && m_now < vm.startedAt + KeeperReachability::presumedGoneAfter)
        return LimitKeeper::substituteShare;
    std::vector<std::string> before;
    for (std::size_t i = 0; i < rank && m_keepers[i] != number; ++i) {
        const auto& name = m_names[m_keepers[i]];
        before.push_back(name);
        if (!vm.reachability.isSkipped(name, m_now)) {
            ++m_calls;
            vm.reachability.noteAnswer(name, reaches(number, m_keepers[i]), m_now);
        }
    }
    return vm.reachability.shareAsSubstitute(before, m_now);
}

void LimitSimulation::askForPermit(std::size_t number, std::size_t rank, Milliseconds begunAt)
{
    auto& vm = m_vms[number];
    while (rank < m_keepers.size() && m_keepers[rank] != number
        && vm.reachability.isSkipped(m_names[m_keepers[rank]], m_now))
        ++rank;
    const LimitReport report { knownLimit(vm), m_now - vm.limit.statedAt() };
    const PermitRequest request { endpointName(number), report,
        randomUnit() < 0.5 ? sendSlotTimeout : Milliseconds { 0 } };
    const auto incarnation = vm.incarnation;
    if (m_scenario.injectedFault == InjectedLimitFault::EachVmUsesWholeLimit) {
        handlePermitAnswer(number, incarnation, vm.keeper.ask(request, LimitKeeper::primaryShare, m_now));
        return;
    }
    if (rank >= m_keepers.size() || m_keepers[rank] == number) {
        const auto part = LimitKeeper::substituteShare / static_cast<double>(m_scenario.vmCount);
        handlePermitAnswer(number, incarnation,
            rank < m_keepers.size() ? vm.keeper.ask(request, shareAt(number, rank), m_now)
                                    : vm.ownKeeper.ask(request, part, m_now));
        return;
    }
    ++m_calls;
    const auto there = between(1, 2);
    after(there, [this, number, rank, request, incarnation, begunAt] {
        const auto keeper = m_keepers[rank];
        if (!reaches(number, keeper)) {
            after(permitCallTimeout, [this, number, rank, incarnation, begunAt] {
                auto& requester = m_vms[number];
                if (requester.incarnation != incarnation || !requester.isUp)
                    return;
                requester.reachability.noteAnswer(m_names[m_keepers[rank]], false, m_now);
                askForPermit(number, rank + 1, begunAt);
            });
            return;
        }
        const auto answer = m_vms[keeper].keeper.ask(request, shareAt(keeper, rank), m_now);
        after(between(1, 2), [this, number, keeper, incarnation, answer] {
            m_vms[number].reachability.noteAnswer(m_names[keeper], true, m_now);
            handlePermitAnswer(number, incarnation, answer);
        });
    });
}

void LimitSimulation::handlePermitAnswer(std::size_t number, unsigned incarnation, const PermitAnswer& answer)
{
    auto& vm = m_vms[number];
    if (vm.incarnation != incarnation || !vm.isUp)
        return;
    if (m_now < vm.pausedUntil) {
        after(vm.pausedUntil - m_now,
            [this, number, incarnation, answer] { handlePermitAnswer(number, incarnation, answer); });
        return;
    }
    vm.limit.notePeerReport(answer.report.perSecond, m_now - answer.report.age);
    if (!answer.isGranted) {
        vm.noPermitUntil = m_now + answer.wait;
        refused(number);
        return;
    }
    const auto before = knownLimit(vm);
    after(answer.wait, [this, number, incarnation, before] {
        auto& sender = m_vms[number];
        if (sender.incarnation != incarnation || !sender.isUp || m_now < sender.pausedUntil)
            return;
        const auto present = knownLimit(sender);
        if (present && (!before || *present < *before))
            return;
        send(number);
    });
}

// Used when each VM enforces its own share of the limit.
void LimitSimulation::sendBySchedule(std::size_t number)
{
    auto& vm = m_vms[number];
    const auto limit = *knownLimit(vm);
    double rate = limit / static_cast<double>(m_scenario.vmCount);
    if (m_scenario.enforcement == LimitEnforcement::DemandShares)
        rate = limit * vm.requestShare;
    if (m_scenario.enforcement == LimitEnforcement::BackOff) {
        if (vm.ownRate <= 0)
            vm.ownRate = limit / 2;
        vm.ownRate = std::min(vm.ownRate, limit);
        rate = vm.ownRate;
    }
    vm.ownSchedule.setRate(rate * LimitKeeper::primaryShare, m_now);
    if (vm.ownSchedule.waitFor(m_now) > Milliseconds { 0 }) {
        refused(number);
        return;
    }
    vm.ownSchedule.take(m_now);
    send(number);
}

void LimitSimulation::exchangeDemand()
{
    double all = 0;
    std::vector<double> counts(m_scenario.vmCount, 0);
    for (std::size_t i = 0; i < m_scenario.vmCount; ++i) {
        std::erase_if(m_vms[i].requests, [this](Milliseconds at) { return m_now - at > demandWindow; });
        counts[i] = static_cast<double>(m_vms[i].requests.size());
        all += counts[i];
    }
    for (std::size_t i = 0; i < m_scenario.vmCount; ++i) {
        const bool isConnected = m_vms[i].isUp && m_now >= m_vms[i].pausedUntil && m_now >= m_vms[i].disconnectedUntil;
        if (isConnected && all > 0)
            m_vms[i].requestShare = counts[i] / all;
    }
    // Each VM sends its count to all others.
    if (m_now >= limitStartsAt)
        m_calls += m_scenario.vmCount * (m_scenario.vmCount - 1);
    after(demandExchangeInterval, [this] { exchangeDemand(); });
}

void LimitSimulation::send(std::size_t number)
{
    auto& vm = m_vms[number];
    const auto sentAt = m_now;
    const auto incarnation = vm.incarnation;
    after(between(1, 2), [this, number, sentAt, incarnation] {
        const auto& span = spanAt(m_now);
        auto& sender = m_vms[number];
        if (sender.endpointIncarnation != span.endpointIncarnation) {
            // The endpoint list shows the new incarnation.
            sender.endpointIncarnation = span.endpointIncarnation;
            sender.limitKnownAt.reset();
            sender.limit = {};
        }
        const bool knowsLimit = sender.limitKnownAt && m_now - *sender.limitKnownAt >= knownAfter;
        const bool mustKeepLimit = span.perSecond && knowsLimit;
        m_arrivals.push_back({ m_now, number, mustKeepLimit, mustKeepLimit && m_now >= sender.affectedUntil });
        const auto isOld = [this](const Arrival& arrival) { return m_now - arrival.at >= Milliseconds { 1000 }; };
        const auto recent = std::find_if(m_arrivals.rbegin(), m_arrivals.rend(), isOld) - m_arrivals.rbegin();
        const bool isRejected = m_scenario.enforcement == LimitEnforcement::BackOff && span.perSecond
            && static_cast<double>(recent) > std::max(*span.perSecond, 1.0);
        after(responseTime, [this, number, incarnation, sentAt, span, isRejected] {
            handleResponse(number, incarnation, sentAt, span, isRejected);
        });
    });
}

void LimitSimulation::handleResponse(
    std::size_t number, unsigned incarnation, Milliseconds sentAt, const LimitSpan& stated, bool isRejected)
{
    auto& vm = m_vms[number];
    if (vm.incarnation != incarnation || !vm.isUp || vm.endpointIncarnation != stated.endpointIncarnation)
        return;
    if (m_now < vm.pausedUntil) {
        after(vm.pausedUntil - m_now, [this, number, incarnation, sentAt, stated, isRejected] {
            handleResponse(number, incarnation, sentAt, stated, isRejected);
        });
        return;
    }
    const bool isIgnored = m_scenario.injectedFault == InjectedLimitFault::IgnoresChangedLimit && vm.limit.perSecond()
        && stated.perSecond;
    const auto change = isIgnored ? LimitChange::None : vm.limit.noteAnswer(stated.perSecond, sentAt, m_now);
    if (stated.perSecond)
        vm.limitKnownAt = vm.limitKnownAt.value_or(m_now);
    else
        vm.limitKnownAt.reset();
    vm.ownRate = isRejected ? vm.ownRate / 2 : vm.ownRate * 1.05;
    if (change == LimitChange::None || m_scenario.enforcement != LimitEnforcement::SingleKeeper)
        return;
    for (const auto keeper : m_keepers) {
        m_calls += keeper != number;
        if (keeper == number || reaches(number, keeper))
            m_vms[keeper].keeper.reportLimit(endpointName(number), { vm.limit.perSecond(), Milliseconds { 0 } }, m_now);
    }
}

// The number of requests that the endpoint may receive in the span. After a limit falls, the previous limit applies for
// knownAfter, because requests of VMs that learned the new limit within that time are not counted.
double LimitSimulation::allowed(Milliseconds from, Milliseconds to) const
{
    const auto overlap = [from, to](Milliseconds begin, Milliseconds end) {
        return static_cast<double>(std::max(std::min(end, to) - std::max(begin, from), Milliseconds { 0 }).count())
            / 1000;
    };
    double sum = 0;
    for (std::size_t i = 0; i < m_spans.size(); ++i) {
        const auto end = i + 1 < m_spans.size() ? m_spans[i + 1].from : simulatedTime;
        const auto limit = m_spans[i].perSecond.value_or(0);
        sum += limit * overlap(m_spans[i].from, end);
        const auto before = i > 0 ? m_spans[i - 1].perSecond.value_or(0) : 0;
        if (before > limit)
            sum += (before - limit) * overlap(m_spans[i].from, std::min(end, m_spans[i].from + knownAfter));
    }
    return limitFactor * sum + limitSlack;
}

void LimitSimulation::evaluateBound(LimitOutcome& outcome) const
{
    std::vector<Milliseconds> counted;
    for (const auto& arrival : m_arrivals) {
        if (arrival.isCounted)
            counted.push_back(arrival.at);
    }
    for (std::size_t first = 0, last = 0; last < counted.size(); ++last) {
        while (counted[last] - counted[first] >= window)
            ++first;
        // The time since which this incarnation of the endpoint has stated limits without interruption.
        const auto at = counted[last];
        auto since = at;
        for (auto span = m_spans.rbegin(); span != m_spans.rend(); ++span) {
            if (span->from > at)
                continue;
            if (!span->perSecond)
                break;
            since = span->from;
        }
        if (at < since + recoveryTime)
            continue;
        const auto count = static_cast<double>(last - first + 1);
        const auto most = allowed(at - window, at);
        outcome.worstExcess = std::max(outcome.worstExcess, count - most);
        outcome.worstShare = std::max(outcome.worstShare, count / most);
    }
}

// Covers windows with refused requests, from 2 seconds after the endpoint first stated the limit.
void LimitSimulation::evaluateUse(LimitOutcome& outcome) const
{
    double taken = 0;
    double possible = 0;
    for (auto from = limitStartsAt + Milliseconds { 2000 }; from + window <= simulatedTime; from += window) {
        const auto isWithin = [&](const Arrival& arrival) { return arrival.at >= from && arrival.at < from + window; };
        if (std::none_of(m_refusals.begin(), m_refusals.end(), isWithin))
            continue;
        taken += static_cast<double>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
            [&isWithin](const Arrival& arrival) { return arrival.knowsLimit && isWithin(arrival); }));
        possible += (allowed(from, from + window) - limitSlack) / limitFactor;
    }
    outcome.use = possible > 0 ? taken / possible : 1;
}

} // namespace

LimitOutcome simulateLimit(const LimitScenario& scenario) { return LimitSimulation(scenario).run(); }

} // namespace lupinknot::internal
