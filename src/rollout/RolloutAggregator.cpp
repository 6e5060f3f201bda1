#include "rollout/RolloutAggregator.h"

namespace lupinknot::internal {

namespace {

unsigned answerCount(const VersionEvidence& evidence)
{
    const auto total = evidence.total();
    return total.present.answers + total.candidate.answers;
}

} // namespace

RolloutAggregator::RolloutAggregator(const RolloutOrder& order, Milliseconds now)
    : m_order(order)
    , m_startedAt(now)
{
}

void RolloutAggregator::addReport(const std::string& process, const VersionEvidence& evidence, bool isStopped)
{
    m_isBad = m_isBad || isStopped;
    const auto known = m_evidenceByProcess.find(process);
    if (known == m_evidenceByProcess.end()) {
        if (m_evidenceByProcess.size() >= maximumProcesses)
            return;
        m_evidenceByProcess.emplace(process, evidence);
    } else if (answerCount(evidence) > answerCount(known->second)) {
        known->second = evidence;
    }
    update();
}

VersionEvidence RolloutAggregator::evidence() const
{
    VersionEvidence sum;
    for (const auto& report : m_evidenceByProcess)
        sum.add(report.second);
    return sum;
}

void RolloutAggregator::update()
{
    const auto judgement = judge(evidence());
    m_isBad = m_isBad || judgement == Judgement::Bad;
    m_isGood = judgement == Judgement::Good;
}

Milliseconds RolloutAggregator::instantAtRemainingShare(double remainingShare) const
{
    const auto passed = (1 - remainingShare) * static_cast<double>(m_order.duration.count());
    return m_startedAt + Milliseconds { static_cast<std::int64_t>(passed) };
}

RolloutDirective RolloutAggregator::directive() const
{
    return m_isBad ? RolloutDirective::Stop : RolloutDirective::Try;
}

std::optional<RolloutDecision> RolloutAggregator::dueDecision(Milliseconds now)
{
    if (m_isBad)
        return RolloutDecision::RolledBack;
    if (m_isGood && now >= instantAtRemainingShare(remainingShareAtCompletion))
        return RolloutDecision::Completed;
    if (now >= instantAtRemainingShare(remainingShareAtAcceptance) && isAcceptable(evidence()))
        return RolloutDecision::Completed;
    if (now >= instantAtRemainingShare(remainingShareAtRollBack))
        return RolloutDecision::RolledBack;
    return std::nullopt;
}

} // namespace lupinknot::internal
