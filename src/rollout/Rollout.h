// One service's roll-out as one VM takes part in it: which version a request goes to, what its answers have shown, and
// what this VM has been told.
//
// While an order is undecided a VM sends some requests to the candidate (ExposureBudget), but only as long as a VM that
// gathers all evidence has lately said that it may (RolloutAggregator): one that is cut off sends none, so that none
// arrives long after the others know better. What a aggregator or the store says against the candidate holds for good.
//
//     Rollout rollout(order, { limit, slackShare, vmName }, now);
//     rollout.noteRequest();
//     const auto choice = rollout.choose(now);                 // For each request, before its first sending.
//     rollout.noteAnswer(route, RunnerVersion::Candidate, AnswerQuality::Good);
//     rollout.applyDirective(directive, now);                                 // A aggregator's answer to what this VM
//     has told it. rollout.decide(RolloutDecision::Completed, now);         // The store's record.
//
// Used on the relay's thread only.
#pragma once

#include "rollout/ExposureBudget.h"
#include "rollout/RolloutOrder.h"
#include "rollout/VersionChoice.h"
#include "rollout/VersionEvidence.h"

namespace lupinknot::internal {

// What a aggregator says of an order.
enum class RolloutDirective {
    Try, // The evidence is open: a bounded part of the requests may go to the candidate.
    Ready, // The candidate is good and about to be completed: copies of runs should lie with it.
    Stop, // The candidate is bad: nothing may go to it any more.
};

inline constexpr std::array<EnumName<RolloutDirective>, 3> rolloutDirectiveNames { {
    { RolloutDirective::Try, "try" },
    { RolloutDirective::Ready, "ready" },
    { RolloutDirective::Stop, "stop" },
} };

// What a VM takes part with.
struct RolloutParameters {
    ExposureLimit limit;
    double slackShare { 0 };
    std::string vmName;
};

class Rollout {
public:
    Rollout(RolloutOrder, const RolloutParameters&);

    const RolloutOrder& order() const { return m_order; }
    // The order has been written again after its store had lost it.
    void setPosition(const HistoryPosition&);
    RolloutDecision decision() const { return m_decision; }
    bool isStopped() const { return m_isStopped; }
    const VersionEvidence& evidence() const { return m_evidence; }
    unsigned exposed() const { return m_budget.taken(); }

    void noteRequest() { m_budget.noteRequest(); }
    // Which runners a new request may go to; counts one that goes to the candidate as exposed.
    VersionChoice choose(Milliseconds now);
    // The same for a request that goes on after something failed, or anything else that must not go to an undecided
    // candidate.
    VersionChoice provenChoice(Milliseconds now) const;
    // Where copies of runs are to lie.
    VersionChoice choiceForCopies(Milliseconds now) const;
    void noteAnswer(const std::string& route, RunnerVersion, AnswerQuality);

    void applyDirective(RolloutDirective, Milliseconds now);
    // The first decision stays.
    void decide(RolloutDecision, Milliseconds now);

    // How long a aggregator's permission holds. VMs tell their evidence several times within it, and a roll-back has to
    // reach every VM within the deployment's time, some seconds.
    static constexpr Milliseconds permissionHolds { 1500 };
    // How long the runners of a version that was replaced are left out: the list names them for some seconds more.
    // After that versions are told apart no more, since the next ones may come without an order.
    static constexpr Milliseconds replacedLeaveWithin { 10000 };

private:
    bool mayTry(Milliseconds now) const { return !m_isStopped && now < m_mayTryUntil; }

    RolloutOrder m_order;
    ExposureBudget m_budget;
    VersionEvidence m_evidence;
    Milliseconds m_mayTryUntil { 0 };
    bool m_isReady { false };
    bool m_isStopped { false };
    RolloutDecision m_decision { RolloutDecision::Undecided };
    Milliseconds m_decidedAt { 0 };
};

} // namespace lupinknot::internal
