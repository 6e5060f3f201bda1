#include "rollout/Rollout.h"

#include <algorithm>

namespace lupinknot::internal {

Rollout::Rollout(RolloutOrder order, const RolloutParameters& parameters)
    : m_order(std::move(order))
    , m_budget(parameters.limit, parameters.slackShare, parameters.vmName)
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
    if (now - m_decidedAt < replacedVersionExclusionTime)
        return { VersionChoice::Rule::Only, m_order.candidate };
    return {};
}

VersionChoice Rollout::choose(Milliseconds now)
{
    if (m_decision == RolloutDecision::Undecided && isCandidatePermitted(now) && m_budget.tryConsume())
        return { VersionChoice::Rule::Only, m_order.candidate };
    return provenChoice(now);
}

bool Rollout::admitsContinuation(const std::string& version, Milliseconds now) const
{
    const bool isOpenCandidate = version == m_order.candidate && m_decision == RolloutDecision::Undecided;
    return isOpenCandidate ? isCandidatePermitted(now) : provenChoice(now).admits(version);
}

bool Rollout::tryContinueAtCandidate(Milliseconds now)
{
    return admitsContinuation(m_order.candidate, now)
        && (m_decision != RolloutDecision::Undecided || m_budget.tryConsume());
}

bool Rollout::isExcluded(const std::string& version, Milliseconds now) const
{
    if (m_decision == RolloutDecision::Undecided)
        return version == m_order.candidate && m_isStopped;
    return !provenChoice(now).admits(version);
}

void Rollout::noteAnswer(const std::string& route, RunnerVersion version, AnswerQuality quality)
{
    m_evidence.note(route, version, quality);
}

void Rollout::applyDirective(RolloutDirective directive, Milliseconds now)
{
    m_isStopped = m_isStopped || directive == RolloutDirective::Stop;
    if (directive != RolloutDirective::Stop)
        m_permittedUntil = std::max(m_permittedUntil, now + permissionLifetime);
}

void Rollout::decide(RolloutDecision decision, Milliseconds now)
{
    if (m_decision != RolloutDecision::Undecided)
        return;
    m_decision = decision;
    m_decidedAt = now;
}

} // namespace lupinknot::internal
