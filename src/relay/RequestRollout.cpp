#include "relay/RequestRollout.h"

#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// An answer that takes this many times the usual time counts as bad: bad versions are several times slower, and a
// neighbour's prompt at an engine makes a stream's first event twice as late.
constexpr int slowFactor = 3;
// Below this, a multiple of the usual time says little.
constexpr Milliseconds shortestSlowTime { 50 };

} // namespace

RequestRollout::RequestRollout(RelayContext& context, const RelayRequest& request)
    : m_context(context)
    , m_request(request)
{
}

bool RequestRollout::hasRunner(const VersionChoice& choice) const
{
    const auto& runners = m_context.directory.endpointsOf(m_request.service);
    return std::any_of(runners.begin(), runners.end(),
        [&choice](const auto& runner) { return !runner->isLeaving() && choice.admits(runner->entry().version); });
}

VersionChoice RequestRollout::next()
{
    auto* const rollout = m_context.rollouts.find(m_request.service);
    if (!rollout)
        return {};
    if (!m_hasSent && m_first)
        return *m_first;
    const auto provenChoice = rollout->provenChoice(m_context.now());
    if (m_hasSent)
        return hasRunner(provenChoice) ? provenChoice : VersionChoice {};
    const VersionChoice candidate { VersionChoice::Rule::Only, rollout->order().candidate };
    const auto choice = hasRunner(candidate) ? rollout->choose(m_context.now()) : provenChoice;
    // Callers are served by whoever is left.
    m_first = hasRunner(choice) ? choice : VersionChoice {};
    return *m_first;
}

VersionChoice RequestRollout::choiceForCopies(const RelayEndpoint& engine) const
{
    const auto* const rollout = m_context.rollouts.find(m_request.service);
    if (!rollout)
        return {};
    const auto& candidate = rollout->order().candidate;
    if (engine.entry().version == candidate)
        return { VersionChoice::Rule::Only, candidate };
    const auto choice = rollout->choiceForCopies(m_context.now());
    return hasRunner(choice) ? choice : VersionChoice {};
}

void RequestRollout::noteAnswer(const RelayEndpoint& endpoint, AnswerQuality quality) const
{
    auto* const rollout = m_context.rollouts.find(m_request.service);
    if (!rollout || rollout->decision() != RolloutDecision::Undecided)
        return;
    const bool isCandidate = endpoint.entry().version == rollout->order().candidate;
    rollout->noteAnswer(
        m_request.route->name, isCandidate ? RunnerVersion::Candidate : RunnerVersion::Present, quality);
}

void RequestRollout::noteAnswerAfter(const RelayEndpoint& endpoint, Milliseconds took, Milliseconds usual) const
{
    const bool isSlow = took > std::max(slowFactor * usual, shortestSlowTime);
    noteAnswer(endpoint, isSlow ? AnswerQuality::Bad : AnswerQuality::Good);
}

} // namespace lupinknot::internal
