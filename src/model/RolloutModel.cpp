#include "model/RolloutModel.h"

#include "rollout/RolloutGatherer.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds step { 100 };
// Each VM sends its evidence to the aggregators once in so many steps.
constexpr int stepsBetweenAccounts = 3;
constexpr int gathererCount = 3;
// Time from a request to its response.
constexpr int stepsOfAnswer = 2;
constexpr int stepsOfSlowAnswer = 8;
// The values that deployments use.
const ExposureLimit limit;
constexpr Milliseconds rollBackBound { 5000 };
constexpr int badAnswersBeforeBound = 50;
constexpr Milliseconds contactTime { 4000 };
// The fleet runs for a while before the rollout is ordered.
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
    std::unique_ptr<RolloutGatherer> gatherer;
    // Killed or paused: the VM neither serves nor communicates before this step.
    int awayUntil { 0 };
    // Disconnected: the VM serves, but reaches neither other VMs nor the store before this step.
    int cutUntil { 0 };
    bool hasBeenKilled { false };
    // End of the latest fault.
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
            // Hits a few percent of the VMs within the order's duration, aggregators as often as other VMs.
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
        // Additionally kills aggregators while they work.
        if (chance(0.005))
            kill(m_vms[static_cast<std::size_t>(pick(gathererCount))], m_step + 5 + pick(30));
    }

    static void kill(ModelVm& vm, int until)
    {
        vm.awayUntil = until;
        vm.calmSince = until * step;
        vm.rollout.reset();
        vm.gatherer.reset();
        ++vm.incarnation;
        vm.hasBeenKilled = true;
    }

    // VMs learn of the order within a few steps, unless the VM or the store is unreachable.
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
            vm.rollout = std::make_unique<Rollout>(m_order, RolloutTerms { limit, share, vm.name });
            if (i < gathererCount)
                vm.gatherer = std::make_unique<RolloutGatherer>(m_order, now());
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
                // The VM does not know the versions before its list of runners arrives, which comes with the order.
                continue;
            }
            vm.rollout->noteRequest();
            if (isDeaf(index))
                vm.rollout->hear(GathererWord::Try, now());
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
                violate("a request went to the candidate too long after its rollback");
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
                auto& gatherer = m_vms[g];
                const bool isReached = g == i || (!isCut(vm) && !isCut(gatherer) && !chance(m_lossShare));
                if (!gatherer.gatherer || isAway(gatherer) || !isReached)
                    continue;
                const auto process = vm.name + "/" + std::to_string(vm.incarnation);
                gatherer.gatherer->take(process, vm.rollout->evidence(), vm.rollout->isStopped());
                vm.rollout->hear(gatherer.gatherer->word(now()), now());
            }
        }
    }

    void writeDecision()
    {
        for (std::size_t g = 0; g < gathererCount; ++g) {
            auto& vm = m_vms[g];
            if (!vm.gatherer || isAway(vm) || isCut(vm) || isStoreAway())
                continue;
            const auto wanted = vm.gatherer->wanted(now());
            if (!wanted || m_decision == *wanted)
                continue;
            if (m_decision != RolloutDecision::Undecided && m_play.planted != PlantedFault::DecisionTurns)
                continue;
            if (m_decision != RolloutDecision::Undecided)
                violate("a recorded decision was overwritten by the opposite one");
            m_decision = *wanted;
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
            return; // Counted as a wrong decision instead: no limit applies once all requests go to it.
        if (outcome.exposed > outcome.mostExposed)
            violate("a bad version received more requests than the exposure limit allows");
        if (outcome.lastSentAfterFiftyBad > rollBackBound)
            violate("a bad version received requests for too long after its 50th bad response");
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
