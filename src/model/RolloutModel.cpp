#include "model/RolloutModel.h"

#include "rollout/RolloutAggregator.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds step { 100 };
// Interval at which each VM sends its evidence to the aggregators.
constexpr int stepsBetweenReports = 3;
constexpr int aggregatorCount = 3;
// Time from a request to its response.
constexpr int responseSteps = 2;
constexpr int slowResponseSteps = 8;
// The values that deployments use.
const ExposureLimit limit;
constexpr Milliseconds rollbackTimeLimit { 5000 };
constexpr int badResponsesBeforeBound = 50;
constexpr Milliseconds recoveryTime { 4000 };
// The fleet runs for a while before the rollout is ordered.
constexpr Milliseconds orderAt { 5000 };
constexpr Milliseconds timeAfterDuration { 6000 };

struct PendingResponse {
    int atStep;
    std::size_t vm;
    std::string route;
    RunnerVersion version;
    AnswerQuality quality;
};

struct ModelVm {
    std::string name;
    int incarnation { 0 };
    std::unique_ptr<Rollout> rollout;
    std::unique_ptr<RolloutAggregator> aggregator;
    // Killed or paused: the VM neither serves nor communicates before this step.
    int unavailableUntil { 0 };
    // Disconnected: the VM serves, but reaches neither other VMs nor the store before this step.
    int disconnectedUntil { 0 };
    bool hasBeenKilled { false };
    // End of the latest fault.
    Milliseconds lastFaultEndsAt { 0 };
};

class RolloutFleet {
public:
    explicit RolloutFleet(const RolloutScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_order { "s", "v2", scenario.duration, 1 }
        , m_vms(static_cast<std::size_t>(scenario.vmCount))
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            m_vms[i].name = "vm-" + std::to_string(i);
        const auto durationInSteps = static_cast<int>(m_scenario.duration / step);
        if (m_scenario.hasFaults && chance(0.4)) {
            m_storeUnreachableFrom = m_orderStep + randomBelow(durationInSteps);
            m_storeUnreachableUntil = m_storeUnreachableFrom + randomBelow(60);
        }
        m_callLossShare = m_scenario.hasFaults ? 0.1 * randomUnit() : 0;
    }

    RolloutOutcome run()
    {
        const auto end = static_cast<int>((orderAt + m_scenario.duration + timeAfterDuration) / step);
        for (m_step = 0; m_step < end && m_outcome.violation.empty(); ++m_step) {
            injectFaults();
            deliverOrder();
            processResponses();
            processRequests();
            reportToAggregators();
            writeDecision();
            readDecision();
        }
        checkRules();
        return m_outcome;
    }

private:
    Milliseconds now() const { return m_step * step; }
    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool chance(double share) { return randomUnit() < share; }
    int randomBelow(int below) { return std::uniform_int_distribution<int>(0, std::max(below - 1, 0))(m_random); }
    bool isIsolated(std::size_t vm) const
    {
        return m_scenario.injectedFault == InjectedRolloutFault::IsolatedVmKeepsTrying && vm % 2 == 1;
    }
    bool isStoreUnreachable() const { return m_step >= m_storeUnreachableFrom && m_step < m_storeUnreachableUntil; }
    bool isUnavailable(const ModelVm& vm) const { return m_step < vm.unavailableUntil; }
    bool isDisconnected(const ModelVm& vm) const { return m_step < vm.disconnectedUntil; }
    bool isConnected(const ModelVm& vm) const { return now() - vm.lastFaultEndsAt >= recoveryTime; }

    void injectFaults()
    {
        if (!m_scenario.hasFaults)
            return;
        for (auto& vm : m_vms) {
            // Hits a few percent of the VMs within the order's duration, aggregators as often as other VMs.
            if (!chance(0.0005))
                continue;
            const auto until = m_step + 5 + randomBelow(40);
            switch (randomBelow(3)) {
            case 0:
                kill(vm, until);
                break;
            case 1:
                vm.unavailableUntil = until;
                break;
            default:
                vm.disconnectedUntil = until;
            }
            vm.lastFaultEndsAt = until * step;
        }
        // Additionally kills aggregators while they work.
        if (chance(0.005))
            kill(m_vms[static_cast<std::size_t>(randomBelow(aggregatorCount))], m_step + 5 + randomBelow(30));
    }

    static void kill(ModelVm& vm, int until)
    {
        vm.unavailableUntil = until;
        vm.lastFaultEndsAt = until * step;
        vm.rollout.reset();
        vm.aggregator.reset();
        ++vm.incarnation;
        vm.hasBeenKilled = true;
    }

    // VMs learn of the order within a few steps, unless the VM or the store is unreachable.
    void deliverOrder()
    {
        if (m_step < m_orderStep)
            return;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (vm.rollout || isUnavailable(vm) || isDisconnected(vm)
                || (isStoreUnreachable() && m_step > m_storeUnreachableFrom) || !chance(0.8))
                continue;
            const bool isUndivided = m_scenario.injectedFault == InjectedRolloutFault::UndividedBudget;
            const auto share = vm.hasBeenKilled ? 0.0 : isUndivided ? 1.0 : 1.0 / m_scenario.vmCount;
            vm.rollout = std::make_unique<Rollout>(m_order, RolloutParameters { limit, share, vm.name });
            if (i < aggregatorCount)
                vm.aggregator = std::make_unique<RolloutAggregator>(m_order, now());
        }
    }

    double loadFactor() const { return 1 + 0.5 * ((m_step / 20) % 2 ? 1 : -1); }

    void processRequests()
    {
        std::poisson_distribution<int> arrivals(m_scenario.requestsPerSecond * loadFactor() / 10);
        for (int i = arrivals(m_random); i > 0; --i) {
            const auto index = static_cast<std::size_t>(randomBelow(m_scenario.vmCount));
            auto& vm = m_vms[index];
            if (isUnavailable(vm))
                continue;
            if (m_step >= m_orderStep && now() < orderAt + m_scenario.duration)
                ++m_requests;
            const auto route = "r" + std::to_string(randomBelow(m_scenario.routeCount));
            if (!vm.rollout) {
                // The VM does not know the versions before its list of runners arrives, which comes with the order.
                continue;
            }
            vm.rollout->noteRequest();
            if (isIsolated(index))
                vm.rollout->applyDirective(RolloutDirective::Try, now());
            const auto choice = vm.rollout->choose(now());
            const bool isCandidate = choice.rule == VersionChoice::Rule::Only;
            send(index, route, isCandidate ? RunnerVersion::Candidate : RunnerVersion::Present);
        }
    }

    void send(std::size_t index, const std::string& route, RunnerVersion version)
    {
        const auto& vm = m_vms[index];
        const bool isCandidate = version == RunnerVersion::Candidate;
        if (isCandidate && isConnected(vm) && m_step >= m_orderStep) {
            m_lastSent = now();
            if (now() < orderAt + m_scenario.duration)
                ++m_outcome.exposed;
            if (m_decision == RolloutDecision::RolledBack && now() - m_decidedAt > rollbackTimeLimit)
                violate("a request went to the candidate too long after its rollback");
        }
        const bool isBad = chance(isCandidate ? candidateBadShare(route) : m_scenario.baselineBadShare);
        const bool isSlow = isBad && m_scenario.fault == VersionFault::Slow;
        const auto answerAt = m_step + (isSlow ? slowResponseSteps : responseSteps);
        m_pending.push_back({ answerAt, index, route, version, isBad ? AnswerQuality::Bad : AnswerQuality::Good });
    }

    double candidateBadShare(const std::string& route) const
    {
        const auto& scenario = m_scenario;
        const bool isLate
            = now() - orderAt >= Milliseconds { static_cast<std::int64_t>(1000 * scenario.failsFromSecond) };
        const bool hasDefect = scenario.fault == VersionFault::Fails || scenario.fault == VersionFault::Slow
            || (scenario.fault == VersionFault::FailsLate && isLate)
            || (scenario.fault == VersionFault::FailsUnderLoad && loadFactor() > 1)
            || (scenario.fault == VersionFault::FailsOnOneRoute && route == "r0");
        return hasDefect ? std::max(scenario.badShare, scenario.baselineBadShare) : scenario.baselineBadShare;
    }

    void processResponses()
    {
        std::vector<PendingResponse> remaining;
        for (const auto& answer : m_pending) {
            if (answer.atStep > m_step) {
                remaining.push_back(answer);
                continue;
            }
            const bool isBad = answer.quality == AnswerQuality::Bad;
            if (isBad && answer.version == RunnerVersion::Candidate && ++m_badResponses == badResponsesBeforeBound)
                m_fiftyBadAt = now();
            if (auto& rollout = m_vms[answer.vm].rollout)
                rollout->noteAnswer(answer.route, answer.version, answer.quality);
        }
        m_pending = std::move(remaining);
    }

    void reportToAggregators()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (!vm.rollout || isUnavailable(vm) || isIsolated(i)
                || (m_step + static_cast<int>(i)) % stepsBetweenReports != 0)
                continue;
            for (std::size_t g = 0; g < aggregatorCount; ++g) {
                auto& aggregator = m_vms[g];
                const bool isReached
                    = g == i || (!isDisconnected(vm) && !isDisconnected(aggregator) && !chance(m_callLossShare));
                if (!aggregator.aggregator || isUnavailable(aggregator) || !isReached)
                    continue;
                const auto process = vm.name + "/" + std::to_string(vm.incarnation);
                aggregator.aggregator->addReport(process, vm.rollout->evidence(), vm.rollout->isStopped());
                vm.rollout->applyDirective(aggregator.aggregator->directive(), now());
            }
        }
    }

    void writeDecision()
    {
        for (std::size_t g = 0; g < aggregatorCount; ++g) {
            auto& vm = m_vms[g];
            if (!vm.aggregator || isUnavailable(vm) || isDisconnected(vm) || isStoreUnreachable())
                continue;
            const auto dueDecision = vm.aggregator->dueDecision(now());
            if (!dueDecision || m_decision == *dueDecision)
                continue;
            if (m_decision != RolloutDecision::Undecided
                && m_scenario.injectedFault != InjectedRolloutFault::DecisionIsOverwritten)
                continue;
            if (m_decision != RolloutDecision::Undecided)
                violate("a recorded decision was overwritten by the opposite one");
            m_decision = *dueDecision;
            m_decidedAt = now();
        }
    }

    void readDecision()
    {
        if (m_decision == RolloutDecision::Undecided || isStoreUnreachable())
            return;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (vm.rollout && !isUnavailable(vm) && !isDisconnected(vm) && !isIsolated(i) && chance(0.8))
                vm.rollout->decide(m_decision, now());
        }
    }

    void violate(const std::string& rule)
    {
        if (m_outcome.violation.empty())
            m_outcome.violation = rule;
    }

    void checkRules()
    {
        auto& outcome = m_outcome;
        outcome.decision = m_decision;
        if (m_decision != RolloutDecision::Undecided)
            outcome.decidedAfter = m_decidedAt - orderAt;
        outcome.allowedExposure = static_cast<int>(limit.share * m_requests + limit.slack);
        if (!isBadVersion(m_scenario.fault))
            return;
        if (m_fiftyBadAt.count())
            outcome.lastSentAfterFiftyBad = std::max(m_lastSent - m_fiftyBadAt, Milliseconds { 0 });
        if (m_decision == RolloutDecision::Completed)
            return; // The caller counts a wrong decision; no limit applies once all requests go to the candidate.
        if (outcome.exposed > outcome.allowedExposure)
            violate("a bad version received more requests than the exposure limit allows");
        if (outcome.lastSentAfterFiftyBad > rollbackTimeLimit)
            violate("a bad version received requests for too long after its 50th bad response");
    }

    const RolloutScenario m_scenario;
    std::mt19937 m_random;
    const RolloutOrder m_order;
    std::vector<ModelVm> m_vms;
    const int m_orderStep { static_cast<int>(orderAt / step) };
    int m_step { 0 };
    int m_storeUnreachableFrom { 0 };
    int m_storeUnreachableUntil { 0 };
    double m_callLossShare { 0 };
    std::vector<PendingResponse> m_pending;
    int m_requests { 0 };
    int m_badResponses { 0 };
    Milliseconds m_fiftyBadAt { 0 };
    Milliseconds m_lastSent { 0 };
    RolloutDecision m_decision { RolloutDecision::Undecided };
    Milliseconds m_decidedAt { 0 };
    RolloutOutcome m_outcome;
};

} // namespace

bool isBadVersion(VersionFault fault) { return fault != VersionFault::None && fault != VersionFault::FlakyBothSides; }

RolloutOutcome simulateRollout(const RolloutScenario& scenario) { return RolloutFleet(scenario).run(); }

} // namespace lupinknot::internal
