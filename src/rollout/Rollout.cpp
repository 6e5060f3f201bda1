#include "rollout/Rollout.h"

#include <algorithm>

namespace lupinknot::internal {

Rollout::Rollout(RolloutOrder order, const RolloutParameters& terms)
    : m_order(std::move(order))
    , m_budget(terms.limit, terms.slackShare, terms.vmName)
{
}

void Rollout::setPosition(const HistoryPosition& position)
{
    m_order.revision = position.version;
    m_order.era = position.era;
}

VersionChoice Rollout::provenChoice(Milliseconds now) const
{
    if (m_decision != RolloutDecision::Completed)
        return { VersionChoice::Rule::Not, m_order.candidate };
    if (now - m_decidedAt < replacedLeaveWithin)
        return { VersionChoice::Rule::Only, m_order.candidate };
    return {};
}

VersionChoice Rollout::choose(Milliseconds now)
{
    if (m_decision == RolloutDecision::Undecided && mayTry(now) && m_budget.take())
        return { VersionChoice::Rule::Only, m_order.candidate };
    return provenChoice(now);
}

VersionChoice Rollout::choiceForCopies(Milliseconds now) const
{
    if (m_decision == RolloutDecision::Undecided && m_isReady && mayTry(now))
        return { VersionChoice::Rule::Only, m_order.candidate };
    return provenChoice(now);
}

void Rollout::noteAnswer(const std::string& route, RunnerVersion version, AnswerQuality quality)
{
    m_evidence.note(route, version, quality);
}

void Rollout::applyDirective(RolloutDirective directive, Milliseconds now)
{
    m_isStopped = m_isStopped || directive == RolloutDirective::Stop;
    m_isReady = m_isReady || directive == RolloutDirective::Ready;
    if (directive != RolloutDirective::Stop)
        m_mayTryUntil = std::max(m_mayTryUntil, now + permissionHolds);
}

void Rollout::decide(RolloutDecision decision, Milliseconds now)
{
    if (m_decision != RolloutDecision::Undecided)
        return;
    m_decision = decision;
    m_decidedAt = now;
}

} // namespace lupinknot::internal
