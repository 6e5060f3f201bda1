// Gathers what all VMs have seen of a candidate version and says what they may do with it.
//
// A few VMs gather, the first of each availability zone, each on its own; every VM tells all of them. None of them is a
// leader: each judges by what it has heard, one that judges the candidate bad stops every VM that it reaches, and the
// decision is made by whoever writes it into the platform's store first, under the condition that none is there. So
// nothing depends on a aggregator that dies, pauses or is cut off, or on the aggregators' agreement.
//
//     RolloutAggregator aggregator(order, now);
//     aggregator.addReport("vm-1/17", evidence, isStopped);           // What a process of a VM has counted since its
//     start. answer(aggregator.directive(now)); if (const auto decision = aggregator.dueDecision(now)) ...      //
//     Write it.
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

    // Counts only grow: an older account of the same process changes nothing. One VM's directive that the candidate is
    // stopped is another aggregator's judgement, passed on.
    void addReport(const std::string& process, const VersionEvidence&, bool isStopped);
    RolloutDirective directive(Milliseconds now);
    // The decision that should be written now; nothing while there is none.
    std::optional<RolloutDecision> dueDecision(Milliseconds now);
    VersionEvidence evidence() const;
    std::size_t processCount() const { return m_byProcess.size(); }

    // The share of the order's time that is left when a good candidate is completed. Until then it gets no more than
    // its part, so that one that turns bad late has received little; what is left is for the store's answer.
    static constexpr double leftAtCompletion = 0.1;
    // The same for one that is only acceptable, and for rolling one back of which too little is known: a aggregator
    // that has heard of few VMs leaves the decision to the others for as long as there is time.
    static constexpr double leftAtAcceptance = 0.07;
    static constexpr double leftAtRollBack = 0.03;
    // The same when VMs begin to lay copies of running streams with a candidate that looks good: the runs of the
    // present version end with its runners, and most streams are shorter than what is left then.
    static constexpr double leftWhenReady = 0.45;
    // No account of more processes is kept: what several hundred VMs are that each start again now and then.
    static constexpr std::size_t mostProcesses = 2000;

private:
    // The instant at which so much of the order's time is left.
    Milliseconds instantWith(double leftShare) const;
    void update();

    const RolloutOrder m_order;
    const Milliseconds m_since;
    std::map<std::string, VersionEvidence> m_byProcess;
    bool m_isGood { false };
    bool m_isBad { false };
};

} // namespace lupinknot::internal
