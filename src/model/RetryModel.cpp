#include "model/RetryModel.h"

#include "relay/RelaySettings.h"
#include "relay/RetryBudget.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds tick { 100 };
constexpr int ticksInSecond = 10;
constexpr int zoneCount = 3;

// Not copyable, because the budget refers to the settings.
struct SimulatedVm {
    SimulatedVm(const SimulatedVm&) = delete;
    SimulatedVm& operator=(const SimulatedVm&) = delete;
    SimulatedVm(int number, Milliseconds now)
    {
        settings.vmName = "vm-" + std::to_string(number);
        start(now);
    }

    void start(Milliseconds now)
    {
        settings.retrySlackStartsAt = now + settings.retryWindow;
        budget = std::make_unique<RetryBudget>(settings);
        runs.clear();
    }

    struct Run {
        Milliseconds requestedAt;
        int endsAt;
        int zone;
    };

    RelaySettings settings;
    std::unique_ptr<RetryBudget> budget;
    std::vector<Run> runs;
};

class Fleet {
public:
    explicit Fleet(const RetryScenario& scenario)
        : m_scenario(scenario)
        , m_random(static_cast<std::mt19937::result_type>(scenario.seed))
    {
        for (int i = 0; i < scenario.vmCount; ++i) {
            m_vms.emplace_back(i, now());
            m_vms.back().settings.retrySlackShare = 1.0 / scenario.vmCount;
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
            processRequests(second);
            for (auto& vm : m_vms) {
                vm.runs.erase(std::remove_if(vm.runs.begin(), vm.runs.end(),
                                  [this](const SimulatedVm::Run& run) { return run.endsAt <= m_tick; }),
                    vm.runs.end());
            }
        }
    }

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

    int retries() const { return sum(m_retries, 0, static_cast<int>(m_retries.size())); }
    int denied() const { return m_denied; }

private:
    Milliseconds now() const { return Milliseconds { 100000 } + m_tick * tick; }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool isStoreUnresponsive(int second) const
    {
        return second >= m_scenario.silentFromSecond && second < m_scenario.silentToSecond;
    }
    static int zoneOf(std::size_t vm) { return static_cast<int>(vm % zoneCount); }

    static int sum(const std::vector<int>& counts, int from, int to)
    {
        int total = 0;
        for (int i = std::max(from, 0); i < to; ++i)
            total += counts[static_cast<std::size_t>(i)];
        return total;
    }

    void processRequests(int second)
    {
        const double factor = second % 10 < 3 ? m_scenario.surge : 1;
        std::poisson_distribution<int> arrivals(m_scenario.requestsPerSecond * factor / ticksInSecond);
        for (int i = arrivals(m_random); i > 0; --i) {
            auto vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
            while (second >= m_scenario.zoneLeftAtSecond && zoneOf(vm) == 0)
                vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
            m_vms[vm].budget->noteRequest(now());
            ++m_requests.back();
            send(m_vms[vm], now(), second);
        }
    }

    // Starts a run on an engine, after as many rejections and retries as chance and the budget give.
    void send(SimulatedVm& vm, Milliseconds requestedAt, int second)
    {
        const auto rejectionChance
            = isStoreUnresponsive(second) ? m_scenario.rejectedShareWhileStoreSilent : m_scenario.rejectedShare;
        while (chance() < rejectionChance) {
            if (!retry(vm, RetryPurpose::Failover, requestedAt))
                return;
        }
        const auto length = static_cast<int>(m_scenario.runSeconds * ticksInSecond * (0.5 + chance()));
        vm.runs.push_back(
            { requestedAt, m_tick + length, std::uniform_int_distribution<int>(0, zoneCount - 1)(m_random) });
    }

    bool retry(SimulatedVm& vm, RetryPurpose purpose, Milliseconds requestedAt)
    {
        if (!vm.budget->take(purpose, requestedAt, now())) {
            ++m_denied;
            return false;
        }
        ++m_retries.back();
        return true;
    }

    void injectFaults(int second)
    {
        if (m_scenario.restartShare > 0 && second % m_scenario.restartEverySeconds == 0) {
            for (auto& vm : m_vms) {
                if (chance() < m_scenario.restartShare)
                    vm.start(now());
            }
        }
        if (second % m_scenario.lossEverySeconds != 0)
            return;
        const int zone = second / m_scenario.lossEverySeconds % zoneCount;
        for (auto& vm : m_vms)
            failZone(vm, zone, second);
    }

    void failZone(SimulatedVm& vm, int zone, int second)
    {
        std::vector<SimulatedVm::Run> remaining;
        std::vector<SimulatedVm::Run> lost;
        for (const auto& run : vm.runs)
            (run.zone == zone && chance() < m_scenario.lossShare ? lost : remaining).push_back(run);
        vm.runs = std::move(remaining);
        for (const auto& run : lost) {
            if (retry(vm, RetryPurpose::Failover, run.requestedAt))
                send(vm, run.requestedAt, second);
        }
        for (const auto& run : vm.runs) {
            if (chance() < m_scenario.movedShare)
                retry(vm, RetryPurpose::Proactive, run.requestedAt);
        }
    }

    const RetryScenario m_scenario;
    std::mt19937 m_random;
    std::deque<SimulatedVm> m_vms;
    std::vector<int> m_requests;
    std::vector<int> m_retries;
    int m_tick { 0 };
    int m_denied { 0 };
};

} // namespace

RetryOutcome simulateRetries(const RetryScenario& scenario)
{
    Fleet fleet(scenario);
    fleet.run();
    return { fleet.greatestExcess(), fleet.retries(), fleet.denied() };
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

} // namespace lupinknot::internal
