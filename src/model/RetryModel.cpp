#include "model/RetryModel.h"

#include "limits/KeeperReachability.h"
#include "relay/RelaySettings.h"
#include "relay/RetryBudget.h"
#include "retries/LoanSearch.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds tick { 100 };
constexpr int ticksInSecond = 10;
constexpr int zoneCount = 3;
constexpr int faultIntervalSeconds = 2;
constexpr int maxLateTicks = 15;
// How long the VMs of a zone wait for the VM that holds the zone's account before another one takes over.
constexpr int takeoverTicks = 20;
// As in EventStreamCall: a second rejection is not paid by a loan.
constexpr int maxRejectionsOnLoan = 1;

// Not copyable, because the budgets refer to the settings.
struct SimulatedVm {
    SimulatedVm(const SimulatedVm&) = delete;
    SimulatedVm& operator=(const SimulatedVm&) = delete;
    SimulatedVm(int vmNumber, Milliseconds now)
        : number(static_cast<std::size_t>(vmNumber))
        , zone(vmNumber % zoneCount)
    {
        settings.vmName = "vm-" + std::to_string(vmNumber);
        zoneSettings.vmName = settings.vmName;
        start(now);
    }

    void start(Milliseconds now)
    {
        settings.retrySlackStartsAt = now + settings.retryWindow;
        budget = std::make_unique<RetryBudget>(settings);
        startZoneAccount(now);
        runs.clear();
        chargedAt.clear();
        ++incarnation;
    }

    void startZoneAccount(Milliseconds now)
    {
        zoneSettings.retrySlackStartsAt = now + settings.retryWindow;
        zoneBudget = std::make_unique<RetryBudget>(zoneSettings);
    }

    struct Run {
        Milliseconds requestedAt;
        int endsAt;
        int zone;
    };

    const std::size_t number;
    const int zone;
    RelaySettings settings;
    std::unique_ptr<RetryBudget> budget;
    // The account of the whole zone, which one VM uses (RetryPooling::ZoneAccount).
    RelaySettings zoneSettings;
    std::unique_ptr<RetryBudget> zoneBudget;
    std::vector<Run> runs;
    unsigned incarnation { 0 };
    // Ticks until which the VM does not run.
    int downUntil { 0 };
    int frozenUntil { 0 };
    // When retries were sent that this incarnation's account pays for.
    std::deque<Milliseconds> chargedAt;
    KeeperReachability reachability;
};

// A request that needs a retry.
struct RetryNeed {
    std::size_t vm { 0 };
    unsigned incarnation { 0 };
    Milliseconds requestedAt { 0 };
    RetryPurpose purpose { RetryPurpose::Failover };
    unsigned rank { defaultRequestRank };
    // True for the first retry after a zone failure.
    bool isLostRun { false };
    int rejections { 0 };
};

struct Search {
    RetryNeed need;
    LoanSearch state;
    bool isDone { false };
};

class Fleet {
public:
    explicit Fleet(const RetryScenario& scenario)
        : m_scenario(scenario)
        , m_random(static_cast<std::mt19937::result_type>(scenario.seed))
    {
        m_vmsOfZone.resize(zoneCount);
        for (int i = 0; i < scenario.vmCount; ++i) {
            m_vms.emplace_back(i, now());
            m_vms.back().settings.retrySlackShare = 1.0 / scenario.vmCount;
            auto& settings = m_vms.back().settings;
            settings.loanReserveShare = scenario.loanReserveShare.value_or(settings.loanReserveShare);
            m_vmsOfZone[static_cast<std::size_t>(i % zoneCount)].push_back(static_cast<std::size_t>(i));
        }
        for (auto& vm : m_vms) {
            const auto vms = m_vmsOfZone[static_cast<std::size_t>(vm.zone)].size();
            vm.zoneSettings.retrySlackShare = static_cast<double>(vms) / scenario.vmCount;
        }
    }

    void run()
    {
        for (m_tick = 0; m_tick < m_scenario.seconds * ticksInSecond; ++m_tick) {
            m_requests.push_back(0);
            m_retries.push_back(0);
            const int second = m_tick / ticksInSecond;
            if (m_tick % ticksInSecond == 0)
                injectFaults(second);
            runEvents();
            processSearches();
            processRequests(second);
            for (auto& vm : m_vms) {
                vm.runs.erase(std::remove_if(vm.runs.begin(), vm.runs.end(),
                                  [this](const SimulatedVm::Run& run) { return run.endsAt <= m_tick; }),
                    vm.runs.end());
            }
            checkAccounts();
        }
    }

    RetryOutcome outcome()
    {
        m_outcome.greatestExcess = greatestExcess();
        m_outcome.retries = sum(m_retries, 0, static_cast<int>(m_retries.size()));
        return m_outcome;
    }

private:
    // The greatest excess of retries over the allowed number in any window.
    double greatestExcess() const
    {
        const RelaySettings settings;
        const auto window = static_cast<int>(settings.retryWindow / tick);
        double worst = -settings.retrySlack;
        for (int end = window; end <= static_cast<int>(m_retries.size()); ++end) {
            const auto counted
                = std::max({ sum(m_requests, end - window, end), sum(m_requests, end - 2 * window, end - window),
                    sum(m_requests, end - window * 3 / 2, end - window / 2) });
            const auto allowed = settings.retryRatio * counted + settings.retrySlack;
            worst = std::max(worst, sum(m_retries, end - window, end) - allowed);
        }
        return worst;
    }

    Milliseconds now() const { return Milliseconds { 100000 } + m_tick * tick; }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    int ticksUpTo(int most) { return std::uniform_int_distribution<int>(1, std::max(most, 1))(m_random); }
    bool isStoreUnresponsive(int second) const
    {
        return second >= m_scenario.silentFromSecond && second < m_scenario.silentToSecond;
    }
    bool isRunning(const SimulatedVm& vm) const { return m_tick >= vm.downUntil && m_tick >= vm.frozenUntil; }
    bool canReach(const SimulatedVm& from, const SimulatedVm& to) const
    {
        const int second = m_tick / ticksInSecond;
        const bool isCut = second >= m_scenario.cutFromSecond && second < m_scenario.cutToSecond;
        return from.zone == to.zone || !(isCut && (from.zone == m_scenario.cutZone || to.zone == m_scenario.cutZone));
    }

    static int sum(const std::vector<int>& counts, int from, int to)
    {
        int total = 0;
        for (int i = std::max(from, 0); i < to; ++i)
            total += counts[static_cast<std::size_t>(i)];
        return total;
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_tick) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    void at(int when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }

    void processRequests(int second)
    {
        const double factor = second % 10 < 3 ? m_scenario.surge : 1;
        std::poisson_distribution<int> arrivals(m_scenario.requestsPerSecond * factor / ticksInSecond);
        const auto draw = [this] { return std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random); };
        const auto getsRequests = [this, second](const SimulatedVm& vm) {
            return isRunning(vm) && !(second >= m_scenario.zoneLeftAtSecond && vm.zone == 0);
        };
        for (int i = arrivals(m_random); i > 0; --i) {
            auto vm = draw();
            constexpr int maxDraws = 1000;
            for (int draws = 0; draws < maxDraws && !getsRequests(m_vms[vm]); ++draws)
                vm = draw();
            if (!getsRequests(m_vms[vm]))
                continue;
            const auto rank = drawRank();
            m_vms[vm].budget->noteRequest(now(), rank);
            if (m_scenario.pooling == RetryPooling::ZoneAccount) {
                ++m_outcome.messages;
                if (auto* const holder = accountHolder(m_vms[vm].zone))
                    holder->zoneBudget->noteRequest(now());
            }
            ++m_requests.back();
            send({ .vm = vm,
                .incarnation = m_vms[vm].incarnation,
                .requestedAt = now(),
                .purpose = drawPurpose(RetryPurpose::Restart),
                .rank = rank });
        }
    }

    RetryPurpose drawPurpose(RetryPurpose inTime)
    {
        if (!m_scenario.hasPurposes)
            return RetryPurpose::Failover;
        return chance() < m_scenario.inTimeShare ? inTime : RetryPurpose::LateStream;
    }

    // Two kinds of streams, as in the first of the deployments.
    unsigned drawRank() { return m_scenario.hasPurposes && chance() < 0.5 ? 0 : 2; }

    // Starts a run on an engine, after as many rejections and retries as chance and the budget give.
    void send(RetryNeed need)
    {
        const auto rejectionChance = isStoreUnresponsive(m_tick / ticksInSecond)
            ? m_scenario.rejectedShareWhileStoreSilent
            : m_scenario.rejectedShare;
        need.isLostRun = false;
        if (chance() < rejectionChance) {
            ++need.rejections;
            obtainRetry(need);
            return;
        }
        const auto length = static_cast<int>(m_scenario.runSeconds * ticksInSecond * (0.5 + chance()));
        m_vms[need.vm].runs.push_back(
            { need.requestedAt, m_tick + length, std::uniform_int_distribution<int>(0, zoneCount - 1)(m_random) });
    }

    // The VM that holds the account of the zone; null while it does not answer.
    SimulatedVm* accountHolder(int zone)
    {
        const auto& vms = m_vmsOfZone[static_cast<std::size_t>(zone)];
        auto& holder = m_accountHolders[static_cast<std::size_t>(zone)];
        auto& absentSince = m_holderAbsentSince[static_cast<std::size_t>(zone)];
        if (isRunning(m_vms[vms[holder]])) {
            absentSince.reset();
            return &m_vms[vms[holder]];
        }
        absentSince = absentSince.value_or(m_tick);
        if (m_tick - *absentSince < takeoverTicks)
            return nullptr;
        for (std::size_t i = 0; i < vms.size(); ++i) {
            auto& other = m_vms[vms[i]];
            if (!isRunning(other))
                continue;
            holder = i;
            // It does not know what the zone has sent.
            other.startZoneAccount(now());
            return &other;
        }
        return nullptr;
    }

    bool take(SimulatedVm& vm, RetryPurpose purpose, Milliseconds requestedAt)
    {
        if (m_scenario.pooling != RetryPooling::ZoneAccount) {
            const bool isTaken = vm.budget->take(purpose, requestedAt, now());
            if (isTaken)
                vm.chargedAt.push_back(now());
            return isTaken;
        }
        ++m_outcome.messages;
        auto* const holder = accountHolder(vm.zone);
        return holder && holder->zoneBudget->take(purpose, requestedAt, now());
    }

    void obtainRetry(const RetryNeed& need)
    {
        if (take(m_vms[need.vm], need.purpose, need.requestedAt))
            sendRetry(need);
        else if (m_scenario.pooling == RetryPooling::Loans && mayBorrow(need.purpose)
            && need.rejections <= maxRejectionsOnLoan)
            borrow(need);
        else
            ++m_outcome.denied;
    }

    void sendRetry(const RetryNeed& need)
    {
        ++m_retries.back();
        m_outcome.retriedRuns += need.isLostRun ? 1 : 0;
        m_outcome.retriedInTime += need.isLostRun && mayBorrow(need.purpose) ? 1 : 0;
        send(need);
    }

    void borrow(const RetryNeed& need)
    {
        auto& vm = m_vms[need.vm];
        std::vector<std::size_t> ownZone;
        std::vector<std::size_t> otherZones;
        for (const auto& other : m_vms) {
            if (other.number != vm.number)
                (other.zone == vm.zone ? ownZone : otherZones).push_back(other.number);
        }
        const auto isSkipped = [&](std::size_t other) { return vm.reachability.isSkipped(nameOf(other), now()); };
        const auto search = std::make_shared<Search>(
            Search { need, { chooseLenders(std::move(ownZone), otherZones, isSkipped, m_random), {}, now() } });
        m_searches.push_back(search);
        advance(search);
    }

    const std::string& nameOf(std::size_t vm) const { return m_vms[vm].settings.vmName; }
    bool isGone(const RetryNeed& need) const { return m_vms[need.vm].incarnation != need.incarnation; }

    void processSearches()
    {
        const auto searches = m_searches;
        for (const auto& search : searches) {
            if (!search->isDone && m_tick >= m_vms[search->need.vm].frozenUntil)
                advance(search);
        }
        m_searches.erase(std::remove_if(m_searches.begin(), m_searches.end(),
                             [](const std::shared_ptr<Search>& search) { return search->isDone; }),
            m_searches.end());
    }

    void advance(const std::shared_ptr<Search>& search)
    {
        if (isGone(search->need)) {
            search->isDone = true;
            return;
        }
        while (!search->isDone) {
            const auto round = search->state.nextRound(now());
            if (round.empty())
                break;
            for (const auto lender : round)
                ask(search, lender);
        }
        if (!search->isDone && search->state.isOver(now())) {
            search->isDone = true;
            ++m_outcome.denied;
        }
    }

    void ask(const std::shared_ptr<Search>& search, std::size_t lender)
    {
        ++m_outcome.messages;
        const auto& vm = m_vms[lender];
        if (m_tick < vm.downUntil) {
            // The connection is refused.
            noteUnanswered(search, lender);
            return;
        }
        const auto timeout
            = [this, search, lender] { at(m_tick + 1, [this, search, lender] { noteUnanswered(search, lender); }); };
        if (!canReach(m_vms[search->need.vm], vm)) {
            timeout();
        } else if (m_tick < vm.frozenUntil) {
            timeout();
            at(vm.frozenUntil, [this, search, lender] { answer(search, lender); });
        } else if (chance() < m_scenario.lostAnswerShare) {
            m_outcome.wastedLoans += lend(search->need, lender) ? 1 : 0;
            timeout();
        } else if (chance() < m_scenario.lateAnswerShare) {
            const bool isLent = lend(search->need, lender);
            const auto incarnation = vm.incarnation;
            at(m_tick + ticksUpTo(maxLateTicks),
                [this, search, lender, incarnation, isLent] { receive(search, lender, incarnation, isLent); });
        } else {
            answer(search, lender);
        }
    }

    void answer(const std::shared_ptr<Search>& search, std::size_t lender)
    {
        if (m_tick >= m_vms[lender].downUntil)
            receive(search, lender, m_vms[lender].incarnation, lend(search->need, lender));
    }

    bool lend(const RetryNeed& need, std::size_t lender)
    {
        auto& budget = *m_vms[lender].budget;
        const auto decision = m_scenario.fault == LoanFault::NotCounted
            ? budget.decideLoan(need.purpose, need.rank, now())
            : budget.lend(need.purpose, need.rank, now());
        return decision == LoanDecision::Lent;
    }

    void noteUnanswered(const std::shared_ptr<Search>& search, std::size_t lender)
    {
        m_vms[search->need.vm].reachability.noteAnswer(nameOf(lender), false, now());
        search->state.noteRefusal(lender);
    }

    void receive(const std::shared_ptr<Search>& search, std::size_t lender, unsigned incarnation, bool isLent)
    {
        auto& vm = m_vms[search->need.vm];
        if (!isGone(search->need) && m_tick < vm.frozenUntil) {
            at(vm.frozenUntil,
                [this, search, lender, incarnation, isLent] { receive(search, lender, incarnation, isLent); });
            return;
        }
        vm.reachability.noteAnswer(nameOf(lender), true, now());
        const RetryLoan fromArrival { now() + vm.settings.loanValidity };
        const auto granted
            = m_scenario.fault == LoanFault::ValidFromArrival ? std::optional(fromArrival) : search->state.grant(now());
        if (search->isDone || isGone(search->need) || !isLent || !granted) {
            m_outcome.wastedLoans += isLent ? 1 : 0;
            search->state.noteRefusal(lender);
            return;
        }
        search->isDone = true;
        // Some streams probe engines, or wait for a send slot.
        constexpr double delayedShare = 0.3;
        constexpr int maxDelayTicks = 5;
        const auto when = chance() < delayedShare ? m_tick + ticksUpTo(maxDelayTicks) : m_tick;
        useLoan(search->need, *granted, lender, incarnation, when);
    }

    void useLoan(const RetryNeed& need, const RetryLoan& loan, std::size_t lender, unsigned incarnation, int when)
    {
        const auto from = std::max(when, m_vms[need.vm].frozenUntil);
        if (from > m_tick) {
            at(from, [this, need, loan, lender, incarnation, from] { useLoan(need, loan, lender, incarnation, from); });
            return;
        }
        if (isGone(need) || !loan.isValid(now())) {
            ++m_outcome.wastedLoans;
            m_outcome.denied += isGone(need) ? 0 : 1;
            return;
        }
        ++m_outcome.borrowed;
        // A lender that has started again has lost its account, as it loses that of its own retries.
        if (m_vms[lender].incarnation == incarnation)
            m_vms[lender].chargedAt.push_back(now());
        sendRetry(need);
    }

    void checkAccounts()
    {
        if (m_scenario.pooling != RetryPooling::Loans)
            return;
        for (auto& vm : m_vms) {
            while (!vm.chargedAt.empty() && now() - vm.chargedAt.front() > vm.settings.retryWindow)
                vm.chargedAt.pop_front();
            if (!vm.chargedAt.empty()) {
                const auto missing = static_cast<int>(vm.chargedAt.size()) - static_cast<int>(vm.budget->spent(now()));
                m_outcome.uncounted = std::max(m_outcome.uncounted, missing);
            }
        }
    }

    void injectFaults(int second)
    {
        if (m_scenario.restartShare > 0 && second % m_scenario.restartEverySeconds == 0) {
            for (auto& vm : m_vms) {
                if (chance() < m_scenario.restartShare)
                    vm.start(now());
            }
        }
        if (second % faultIntervalSeconds == 0) {
            for (auto& vm : m_vms)
                injectAbsence(vm);
        }
        if (second % m_scenario.lossEverySeconds != 0)
            return;
        const int zone = second / m_scenario.lossEverySeconds % zoneCount;
        for (auto& vm : m_vms) {
            if (m_tick < vm.frozenUntil)
                at(vm.frozenUntil, [this, &vm, zone] { failZone(vm, zone); });
            else
                failZone(vm, zone);
        }
    }

    void injectAbsence(SimulatedVm& vm)
    {
        if (!isRunning(vm))
            return;
        const auto longest = m_scenario.maxAbsentSeconds * ticksInSecond;
        if (m_scenario.killedShare > 0 && chance() < m_scenario.killedShare) {
            vm.start(now());
            vm.downUntil = m_tick + ticksUpTo(longest);
            vm.settings.retrySlackStartsAt += (vm.downUntil - m_tick) * tick;
            vm.zoneSettings.retrySlackStartsAt = vm.settings.retrySlackStartsAt;
        } else if (m_scenario.frozenShare > 0 && chance() < m_scenario.frozenShare) {
            vm.frozenUntil = m_tick + ticksUpTo(longest);
        }
    }

    void failZone(SimulatedVm& vm, int zone)
    {
        std::vector<SimulatedVm::Run> remaining;
        std::vector<SimulatedVm::Run> lost;
        for (const auto& run : vm.runs)
            (run.zone == zone && chance() < m_scenario.lossShare ? lost : remaining).push_back(run);
        vm.runs = std::move(remaining);
        for (const auto& run : lost) {
            const RetryNeed need { .vm = vm.number,
                .incarnation = vm.incarnation,
                .requestedAt = run.requestedAt,
                .purpose = drawPurpose(RetryPurpose::Continuation),
                .rank = drawRank(),
                .isLostRun = true };
            ++m_outcome.lostRuns;
            m_outcome.lostInTime += mayBorrow(need.purpose) ? 1 : 0;
            obtainRetry(need);
        }
        for (const auto& run : vm.runs) {
            if (chance() >= m_scenario.movedShare)
                continue;
            if (take(vm, RetryPurpose::Proactive, run.requestedAt))
                ++m_retries.back();
            else
                ++m_outcome.denied;
        }
    }

    const RetryScenario m_scenario;
    std::mt19937 m_random;
    std::deque<SimulatedVm> m_vms;
    std::vector<std::vector<std::size_t>> m_vmsOfZone;
    // Positions in m_vmsOfZone.
    std::array<std::size_t, zoneCount> m_accountHolders {};
    std::array<std::optional<int>, zoneCount> m_holderAbsentSince {};
    std::vector<std::shared_ptr<Search>> m_searches;
    // By tick.
    std::multimap<int, std::function<void()>> m_events;
    std::vector<int> m_requests;
    std::vector<int> m_retries;
    RetryOutcome m_outcome;
    int m_tick { 0 };
};

} // namespace

RetryOutcome simulateRetries(const RetryScenario& scenario)
{
    Fleet fleet(scenario);
    fleet.run();
    return fleet.outcome();
}

RetryScenario RetryScenarios::next()
{
    const auto between
        = [this](double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_random); };
    const auto seed = ++m_seed;
    RetryScenario scenario { .seed = seed };
    scenario.vmCount = static_cast<int>(between(6, 340));
    scenario.requestsPerSecond = between(5, 300);
    scenario.runSeconds = between(2, 12);
    scenario.lossEverySeconds = static_cast<int>(between(2, 9));
    scenario.rejectedShare = between(0, 0.6);
    scenario.rejectedShareWhileStoreSilent = between(0.2, 0.9);
    scenario.movedShare = between(0, 1);
    scenario.restartShare = seed % 2 ? between(0, 1) : 0;
    scenario.restartEverySeconds = static_cast<int>(between(3, 12));
    scenario.zoneLeftAtSecond = seed % 3 ? 1000 : 25;
    scenario.surge = seed % 4 ? 1 : 3;
    return scenario;
}

RetryScenario RetryScenarios::nextOfDeployment()
{
    const auto seed = ++m_seed;
    RetryScenario scenario { .seed = seed };
    scenario.vmCount = 74 + static_cast<int>(seed % 15);
    scenario.requestsPerSecond = 32 + static_cast<double>(seed % 8);
    scenario.runSeconds = 7;
    scenario.lossShare = 0.93;
    scenario.lossEverySeconds = 3 + static_cast<int>(seed % 5);
    scenario.silentFromSecond = scenario.seconds;
    scenario.movedShare = 0;
    scenario.pooling = RetryPooling::Loans;
    scenario.hasPurposes = true;
    return scenario;
}

RetryScenario RetryScenarios::nextWithLoans()
{
    auto scenario = next();
    const auto between
        = [this](double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_random); };
    // Small fleets are as frequent as large ones.
    scenario.vmCount = static_cast<int>(std::exp(between(std::log(6), std::log(1000))));
    scenario.pooling = RetryPooling::Loans;
    scenario.hasPurposes = true;
    scenario.inTimeShare = between(0, 1);
    scenario.killedShare = m_seed % 5 < 2 ? between(0, 0.1) : 0;
    scenario.frozenShare = m_seed % 5 > 2 ? between(0, 0.2) : 0;
    scenario.cutZone = m_seed % 4 ? -1 : static_cast<int>(between(0, 3));
    scenario.lostAnswerShare = m_seed % 3 ? 0 : between(0, 0.5);
    scenario.lateAnswerShare = m_seed % 3 == 1 ? between(0, 0.5) : 0;
    return scenario;
}

} // namespace lupinknot::internal
