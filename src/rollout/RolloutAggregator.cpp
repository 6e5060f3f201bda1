#include "rollout/RolloutAggregator.h"

namespace lupinknot::internal {

namespace {

unsigned answersIn(const VersionEvidence& evidence)
{
    const auto total = evidence.total();
    return total.present.answers + total.candidate.answers;
}

} // namespace

RolloutAggregator::RolloutAggregator(const RolloutOrder& order, Milliseconds now)
    : m_order(order)
    , m_since(now)
{
}

void RolloutAggregator::addReport(const std::string& process, const VersionEvidence& evidence, bool isStopped)
{
    m_isBad = m_isBad || isStopped;
    const auto known = m_byProcess.find(process);
    if (known == m_byProcess.end()) {
        if (m_byProcess.size() >= mostProcesses)
            return;
        m_byProcess.emplace(process, evidence);
    } else if (answersIn(evidence) > answersIn(known->second)) {
        known->second = evidence;
    }
    update();
}

VersionEvidence RolloutAggregator::evidence() const
{
    VersionEvidence sum;
    for (const auto& account : m_byProcess)
        sum.add(account.second);
    return sum;
}

void RolloutAggregator::update()
{
    const auto judgement = judge(evidence());
    m_isBad = m_isBad || judgement == Judgement::Bad;
    m_isGood = judgement == Judgement::Good;
}

Milliseconds RolloutAggregator::instantWith(double leftShare) const
{
    const auto passed = (1 - leftShare) * static_cast<double>(m_order.duration.count());
    return m_since + Milliseconds { static_cast<std::int64_t>(passed) };
}

RolloutDirective RolloutAggregator::directive(Milliseconds now)
{
    if (m_isBad)
        return RolloutDirective::Stop;
    const bool isNear = now >= instantWith(leftWhenReady);
    return isNear && (m_isGood || isAcceptable(evidence())) ? RolloutDirective::Ready : RolloutDirective::Try;
}

std::optional<RolloutDecision> RolloutAggregator::dueDecision(Milliseconds now)
{
    if (m_isBad)
        return RolloutDecision::RolledBack;
    if (m_isGood && now >= instantWith(leftAtCompletion))
        return RolloutDecision::Completed;
    if (now >= instantWith(leftAtAcceptance) && isAcceptable(evidence()))
        return RolloutDecision::Completed;
    if (now >= instantWith(leftAtRollBack))
        return RolloutDecision::RolledBack;
    return std::nullopt;
}

} // namespace lupinknot::internal
