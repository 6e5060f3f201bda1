#include "model/RolloutModel.h"

#include "rollout/RolloutAggregator.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds step { 100 };
// A VM tells its evidence about every three steps.
constexpr int stepsBetweenAccounts = 3;
constexpr int gathererCount = 3;
// Answers come so long after their sending.
constexpr int stepsOfAnswer = 2;
constexpr int stepsOfSlowAnswer = 8;
// As the deployments set them.
const ExposureLimit limit;
constexpr Milliseconds rollBackBound { 5000 };
constexpr int badAnswersBeforeBound = 50;
constexpr Milliseconds contactTime { 4000 };
// The order comes when the fleet has run for a while.
constexpr Milliseconds orderAt { 5000 };
constexpr Milliseconds playedBeyondDuration { 6000 };

struct PendingAnswer {
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
    // Neither serves nor speaks before this step: killed or paused.
    int awayUntil { 0 };
    // Reaches neither other VMs nor the store, and serves.
    int cutUntil { 0 };
    bool hasBeenKilled { false };
    // Since when nothing has struck it.
    Milliseconds calmSince { 0 };
};

class RolloutFleet {
public:
    explicit RolloutFleet(const RolloutPlay& play)
        : m_play(play)
        , m_random(play.seed)
        , m_order { "s", "v2", play.duration, 1 }
        , m_vms(static_cast<std::size_t>(play.vmCount))
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            m_vms[i].name = "vm-" + std::to_string(i);
        const auto whole = static_cast<int>(m_play.duration / step);
        if (m_play.hasTrouble && chance(0.4)) {
            m_storeAwayFrom = m_orderStep + pick(whole);
            m_storeAwayUntil = m_storeAwayFrom + pick(60);
        }
        m_lossShare = m_play.hasTrouble ? 0.1 * unit() : 0;
    }

    RolloutOutcome run()
    {
        const auto end = static_cast<int>((orderAt + m_play.duration + playedBeyondDuration) / step);
        for (m_step = 0; m_step < end && m_outcome.violation.empty(); ++m_step) {
            strike();
            hearOrder();
            takeAnswers();
            takeRequests();
            tellGatherers();
            writeDecision();
            readDecision();
        }
        check();
        return m_outcome;
    }

private:
    Milliseconds now() const { return m_step * step; }
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool chance(double share) { return unit() < share; }
    int pick(int below) { return std::uniform_int_distribution<int>(0, std::max(below - 1, 0))(m_random); }
    bool isDeaf(std::size_t vm) const { return m_play.planted == PlantedFault::LateVmGoesOn && vm % 2 == 1; }
    bool isStoreAway() const { return m_step >= m_storeAwayFrom && m_step < m_storeAwayUntil; }
    bool isAway(const ModelVm& vm) const { return m_step < vm.awayUntil; }
    bool isCut(const ModelVm& vm) const { return m_step < vm.cutUntil; }
    bool isInTouch(const ModelVm& vm) const { return now() - vm.calmSince >= contactTime; }

    void strike()
    {
        if (!m_play.hasTrouble)
            return;
        for (auto& vm : m_vms) {
            // Some percent of the VMs within the order's time; aggregators as often as any.
            if (!chance(0.0005))
                continue;
            const auto until = m_step + 5 + pick(40);
            switch (pick(3)) {
            case 0:
                kill(vm, until);
                break;
            case 1:
                vm.awayUntil = until;
                break;
            default:
                vm.cutUntil = until;
            }
            vm.calmSince = until * step;
        }
        // A aggregator in the middle of its work.
        if (chance(0.005))
            kill(m_vms[static_cast<std::size_t>(pick(gathererCount))], m_step + 5 + pick(30));
    }

    static void kill(ModelVm& vm, int until)
    {
        vm.awayUntil = until;
        vm.calmSince = until * step;
        vm.rollout.reset();
        vm.aggregator.reset();
        ++vm.incarnation;
        vm.hasBeenKilled = true;
    }

    // The list of orders is heard like any news: within some steps, unless the VM or the store is away.
    void hearOrder()
    {
        if (m_step < m_orderStep)
            return;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (vm.rollout || isAway(vm) || isCut(vm) || (isStoreAway() && m_step > m_storeAwayFrom) || !chance(0.8))
                continue;
            const bool isUndivided = m_play.planted == PlantedFault::UndividedBudget;
            const auto share = vm.hasBeenKilled ? 0.0 : isUndivided ? 1.0 : 1.0 / m_play.vmCount;
            vm.rollout = std::make_unique<Rollout>(m_order, RolloutParameters { limit, share, vm.name });
            if (i < gathererCount)
                vm.aggregator = std::make_unique<RolloutAggregator>(m_order, now());
        }
    }

    double loadAt() const { return 1 + 0.5 * ((m_step / 20) % 2 ? 1 : -1); }

    void takeRequests()
    {
        std::poisson_distribution<int> arrivals(m_play.requestsPerSecond * loadAt() / 10);
        for (int i = arrivals(m_random); i > 0; --i) {
            const auto index = static_cast<std::size_t>(pick(m_play.vmCount));
            auto& vm = m_vms[index];
            if (isAway(vm))
                continue;
            if (m_step >= m_orderStep && now() < orderAt + m_play.duration)
                ++m_requests;
            const auto route = "r" + std::to_string(pick(m_play.routeCount));
            if (!vm.rollout) {
                // The VM tells versions apart by its list of runners, which it heard together with the order.
                continue;
            }
            vm.rollout->noteRequest();
            if (isDeaf(index))
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
        if (isCandidate && isInTouch(vm) && m_step >= m_orderStep) {
            m_lastSent = now();
            if (now() < orderAt + m_play.duration)
                ++m_outcome.exposed;
            if (m_decision == RolloutDecision::RolledBack && now() - m_decidedAt > rollBackBound)
                violate("a request went to a version that was rolled back long ago");
        }
        const bool isBad = chance(isCandidate ? candidatesBadShare(route) : m_play.usualBadShare);
        const bool isSlow = isBad && m_play.fault == VersionFault::Slow;
        const auto answerAt = m_step + (isSlow ? stepsOfSlowAnswer : stepsOfAnswer);
        m_pending.push_back({ answerAt, index, route, version, isBad ? AnswerQuality::Bad : AnswerQuality::Good });
    }

    double candidatesBadShare(const std::string& route) const
    {
        const auto& play = m_play;
        const bool isLate = now() - orderAt >= Milliseconds { static_cast<std::int64_t>(1000 * play.failsFromSecond) };
        const bool isWrong = play.fault == VersionFault::Fails || play.fault == VersionFault::Slow
            || (play.fault == VersionFault::FailsLate && isLate)
            || (play.fault == VersionFault::FailsUnderLoad && loadAt() > 1)
            || (play.fault == VersionFault::FailsOnOneRoute && route == "r0");
        return isWrong ? std::max(play.badShare, play.usualBadShare) : play.usualBadShare;
    }

    void takeAnswers()
    {
        std::vector<PendingAnswer> rest;
        for (const auto& answer : m_pending) {
            if (answer.atStep > m_step) {
                rest.push_back(answer);
                continue;
            }
            const bool isBad = answer.quality == AnswerQuality::Bad;
            if (isBad && answer.version == RunnerVersion::Candidate && ++m_badAnswers == badAnswersBeforeBound)
                m_fiftyBadAt = now();
            if (auto& rollout = m_vms[answer.vm].rollout)
                rollout->noteAnswer(answer.route, answer.version, answer.quality);
        }
        m_pending = std::move(rest);
    }

    void tellGatherers()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (!vm.rollout || isAway(vm) || isDeaf(i) || (m_step + static_cast<int>(i)) % stepsBetweenAccounts != 0)
                continue;
            for (std::size_t g = 0; g < gathererCount; ++g) {
                auto& aggregator = m_vms[g];
                const bool isReached = g == i || (!isCut(vm) && !isCut(aggregator) && !chance(m_lossShare));
                if (!aggregator.aggregator || isAway(aggregator) || !isReached)
                    continue;
                const auto process = vm.name + "/" + std::to_string(vm.incarnation);
                aggregator.aggregator->addReport(process, vm.rollout->evidence(), vm.rollout->isStopped());
                vm.rollout->applyDirective(aggregator.aggregator->directive(now()), now());
            }
        }
    }

    void writeDecision()
    {
        for (std::size_t g = 0; g < gathererCount; ++g) {
            auto& vm = m_vms[g];
            if (!vm.aggregator || isAway(vm) || isCut(vm) || isStoreAway())
                continue;
            const auto dueDecision = vm.aggregator->dueDecision(now());
            if (!dueDecision || m_decision == *dueDecision)
                continue;
            if (m_decision != RolloutDecision::Undecided && m_play.planted != PlantedFault::DecisionTurns)
                continue;
            if (m_decision != RolloutDecision::Undecided)
                violate("a decision turned");
            m_decision = *dueDecision;
            m_decidedAt = now();
        }
    }

    void readDecision()
    {
        if (m_decision == RolloutDecision::Undecided || isStoreAway())
            return;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            auto& vm = m_vms[i];
            if (vm.rollout && !isAway(vm) && !isCut(vm) && !isDeaf(i) && chance(0.8))
                vm.rollout->decide(m_decision, now());
        }
    }

    void violate(const std::string& rule)
    {
        if (m_outcome.violation.empty())
            m_outcome.violation = rule;
    }

    void check()
    {
        auto& outcome = m_outcome;
        outcome.decision = m_decision;
        if (m_decision != RolloutDecision::Undecided)
            outcome.decidedAfter = m_decidedAt - orderAt;
        outcome.mostExposed = static_cast<int>(limit.share * m_requests + limit.slack);
        if (!isBadVersion(m_play.fault))
            return;
        if (m_fiftyBadAt.count())
            outcome.lastSentAfterFiftyBad = std::max(m_lastSent - m_fiftyBadAt, Milliseconds { 0 });
        if (m_decision == RolloutDecision::Completed)
            return; // Judged by the count of wrong decisions: no limit holds once all goes there.
        if (outcome.exposed > outcome.mostExposed)
            violate("a bad version received more than its part");
        if (outcome.lastSentAfterFiftyBad > rollBackBound)
            violate("a bad version was tried for too long");
    }

    const RolloutPlay m_play;
    std::mt19937 m_random;
    const RolloutOrder m_order;
    std::vector<ModelVm> m_vms;
    const int m_orderStep { static_cast<int>(orderAt / step) };
    int m_step { 0 };
    int m_storeAwayFrom { 0 };
    int m_storeAwayUntil { 0 };
    double m_lossShare { 0 };
    std::vector<PendingAnswer> m_pending;
    int m_requests { 0 };
    int m_badAnswers { 0 };
    Milliseconds m_fiftyBadAt { 0 };
    Milliseconds m_lastSent { 0 };
    RolloutDecision m_decision { RolloutDecision::Undecided };
    Milliseconds m_decidedAt { 0 };
    RolloutOutcome m_outcome;
};

} // namespace

bool isBadVersion(VersionFault fault) { return fault != VersionFault::None && fault != VersionFault::FlakyBothSides; }

RolloutOutcome playRollout(const RolloutPlay& play) { return RolloutFleet(play).run(); }

} // namespace lupinknot::internal
