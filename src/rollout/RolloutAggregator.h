// Aggregates what all VMs have observed of a candidate version and directs what they may do with it.
//
// A few VMs are aggregators, the first of each availability zone, independently of each other; every VM reports to all
// of them. None of them is a leader. Each judges by the reports that it has received, and one that judges the candidate
// bad stops every VM that it reaches. The decision is made by the first one that writes it into the platform's store,
// on condition that the store holds no decision yet. The rollout therefore does not depend on an aggregator that fails,
// pauses or is cut off, or on agreement between the aggregators.
//
//     RolloutAggregator aggregator(order, now);
//     aggregator.addReport("vm-1/17", evidence, isStopped);    // What a process of a VM has counted since its start.
//     answer(aggregator.directive());
//     if (const auto decision = aggregator.dueDecision(now)) ...  // Write it.
//
// Used on the relay's thread only; lives as long as the order.
#pragma once

#include "rollout/Rollout.h"
#include "rollout/RolloutJudge.h"
#include <optional>

namespace lupinknot::internal {

class RolloutAggregator {
public:
    RolloutAggregator(const RolloutOrder&, Milliseconds now);

    // Adds a report of a process. Counts only grow, so an older report of the same process changes nothing. A VM whose
    // candidate is stopped passes on another aggregator's verdict.
    void addReport(const std::string& process, const VersionEvidence&, bool isStopped);
    RolloutDirective directive() const;
    // The decision that should be written now; empty while there is none.
    std::optional<RolloutDecision> dueDecision(Milliseconds now);
    VersionEvidence evidence() const;
    std::size_t processCount() const { return m_evidenceByProcess.size(); }

    // The share of the order's duration that remains when a good candidate is completed. Until then the candidate gets
    // no more than its part, so that one that turns bad late has received few requests. The remaining time is for the
    // store's answer.
    static constexpr double remainingShareAtCompletion = 0.1;
    // The same for a candidate that is only acceptable, and for the rollback of one with too little evidence: an
    // aggregator that has reports of few VMs leaves the decision to the others as long as there is time.
    static constexpr double remainingShareAtAcceptance = 0.07;
    static constexpr double remainingShareAtRollBack = 0.03;
    // Reports of more processes are ignored: several hundred VMs that each restart now and then stay below this number.
    static constexpr std::size_t maximumProcesses = 2000;

private:
    // The instant at which that share of the order's duration remains.
    Milliseconds instantAtRemainingShare(double remainingShare) const;
    void update();

    const RolloutOrder m_order;
    const Milliseconds m_startedAt;
    std::map<std::string, VersionEvidence> m_evidenceByProcess;
    bool m_isGood { false };
    bool m_isBad { false };
};

} // namespace lupinknot::internal
