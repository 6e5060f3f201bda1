// One VM's part in the rollout of one service: which version a request goes to, what the answers have shown, and the
// newest directive.
//
// While an order is undecided, a VM sends some requests to the candidate (ExposureBudget), but only while an aggregator
// of the evidence (RolloutAggregator) has recently permitted it. A VM that is cut off sends none, so that none arrives
// long after the other VMs have stopped. A verdict of an aggregator or the store against the candidate is final.
//
//     Rollout rollout(order, { limit, slackShare, vmName });
//     rollout.noteRequest();
//     const auto choice = rollout.choose(now);                 // For each request, before it is first sent.
//     rollout.noteAnswer(route, RunnerVersion::Candidate, AnswerQuality::Good);
//     rollout.applyDirective(directive, now);                  // An aggregator's answer to this VM's evidence.
//     rollout.decide(RolloutDecision::Completed, now);         // The decision recorded in the store.
//
// Used on the relay's thread only.
#pragma once

#include "rollout/ExposureBudget.h"
#include "rollout/RolloutOrder.h"
#include "rollout/VersionChoice.h"
#include "rollout/VersionEvidence.h"

namespace lupinknot::internal {

// What an aggregator directs the VMs to do about an order.
enum class RolloutDirective {
    Try, // The evidence is inconclusive: a bounded part of the requests may go to the candidate.
    Ready, // The same as Try; only earlier releases send it.
    Stop, // The candidate is bad: no request may go to it any more.
};

inline constexpr std::array<EnumName<RolloutDirective>, 3> rolloutDirectiveNames { {
    { RolloutDirective::Try, "try" },
    { RolloutDirective::Ready, "ready" },
    { RolloutDirective::Stop, "stop" },
} };

// The limits with which a VM takes part.
struct RolloutParameters {
    ExposureLimit limit;
    double slackShare { 0 };
    std::string vmName;
};

class Rollout {
public:
    Rollout(RolloutOrder, const RolloutParameters&);

    const RolloutOrder& order() const { return m_order; }
    // Takes the position of an order that was written again after its store had lost it.
    void setPosition(const HistoryPosition&);
    RolloutDecision decision() const { return m_decision; }
    bool isStopped() const { return m_isStopped; }
    const VersionEvidence& evidence() const { return m_evidence; }
    unsigned exposed() const { return m_budget.consumed(); }

    void noteRequest() { m_budget.noteRequest(); }
    // The runners that a new request may go to. Counts a request that goes to the candidate as exposed.
    VersionChoice choose(Milliseconds now);
    // The same for a request that continues after a failure, or for any other that must not go to an undecided
    // candidate.
    VersionChoice provenChoice(Milliseconds now) const;
    // Whether a stream that began at the version may continue there. While the order is undecided, a continuation at
    // the candidate counts as exposed: see tryContinueAtCandidate().
    bool admitsContinuation(const std::string& version, Milliseconds now) const;
    // Counts a stream that continues at the candidate as exposed; false when that is not permitted now.
    bool tryContinueAtCandidate(Milliseconds now);
    // True once no request may go to the version again.
    bool isExcluded(const std::string& version, Milliseconds now) const;
    void noteAnswer(const std::string& route, RunnerVersion, AnswerQuality);

    void applyDirective(RolloutDirective, Milliseconds now);
    // Only the first decision counts.
    void decide(RolloutDecision, Milliseconds now);

    // How long an aggregator's permission lasts. VMs report their evidence several times within it, and a rollback has
    // to reach every VM within the deployment's time, some seconds.
    static constexpr Milliseconds permissionLifetime { 1500 };
    // How long the runners of a replaced version are excluded: the endpoint list still names them for some seconds.
    // After that versions are no longer distinguished, since the next ones may come without an order.
    static constexpr Milliseconds replacedVersionExclusionTime { 10000 };

private:
    bool isCandidatePermitted(Milliseconds now) const { return !m_isStopped && now < m_permittedUntil; }

    RolloutOrder m_order;
    ExposureBudget m_budget;
    VersionEvidence m_evidence;
    Milliseconds m_permittedUntil { 0 };
    bool m_isStopped { false };
    RolloutDecision m_decision { RolloutDecision::Undecided };
    Milliseconds m_decidedAt { 0 };
};

} // namespace lupinknot::internal
