#include "rollout/Rollout.h"

#include <algorithm>

namespace lupinknot::internal {

Rollout::Rollout(RolloutOrder order, const RolloutTerms& parameters)
    : m_order(std::move(order))
    , m_budget(parameters.limit, parameters.slackShare, parameters.vmName)
{
}

void Rollout::moveTo(const HistoryPosition& position)
{
    m_order.revision = position.version;
    m_order.era = position.era;
}

VersionChoice Rollout::proven(Milliseconds now) const
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
    return proven(now);
}

VersionChoice Rollout::forCopies(Milliseconds now) const
{
    if (m_decision == RolloutDecision::Undecided && m_isReady && isCandidatePermitted(now))
        return { VersionChoice::Rule::Only, m_order.candidate };
    return proven(now);
}

void Rollout::noteAnswer(const std::string& route, RunnerVersion version, AnswerQuality quality)
{
    m_evidence.note(route, version, quality);
}

void Rollout::hear(GathererWord word, Milliseconds now)
{
    m_isStopped = m_isStopped || word == GathererWord::Stop;
    m_isReady = m_isReady || word == GathererWord::Ready;
    if (word != GathererWord::Stop)
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
