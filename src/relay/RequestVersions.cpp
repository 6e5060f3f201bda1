#include "relay/RequestVersions.h"

#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// An answer that takes longer than this multiple of the usual time counts as bad. Bad versions are several times
// slower; the prefill of another prompt at an engine alone doubles the time to a stream's first event.
constexpr int slowFactor = 3;
// Answers faster than this are never slow: for short times a multiple of the usual time is not significant.
constexpr Milliseconds minSlowLatency { 50 };

} // namespace

RequestVersions::RequestVersions(RelayContext& context, const RelayRequest& request)
    : m_context(context)
    , m_request(request)
{
}

bool RequestVersions::hasRunner(const VersionChoice& choice) const
{
    const auto& runners = m_context.directory.endpointsOf(m_request.service);
    return std::any_of(runners.begin(), runners.end(),
        [&choice](const auto& runner) { return !runner->isShuttingDown() && choice.admits(runner->entry().version); });
}

VersionChoice RequestVersions::next()
{
    auto* const rollout = m_context.rollouts.find(m_request.service);
    if (!rollout)
        return {};
    if (!m_hasSent && m_firstChoice)
        return *m_firstChoice;
    const auto provenChoice = rollout->provenChoice(m_context.now());
    if (m_hasSent)
        return hasRunner(provenChoice) ? provenChoice : VersionChoice {};
    const VersionChoice candidate { VersionChoice::Rule::Only, rollout->order().candidate };
    const auto choice = hasRunner(candidate) ? rollout->choose(m_context.now()) : provenChoice;
    // When no runner of the chosen version is left, any version serves the caller.
    m_firstChoice = hasRunner(choice) ? choice : VersionChoice {};
    return *m_firstChoice;
}

VersionChoice RequestVersions::choiceForCopies(const RelayEndpoint& engine) const
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

void RequestVersions::noteAnswer(const RelayEndpoint& endpoint, AnswerQuality quality) const
{
    auto* const rollout = m_context.rollouts.find(m_request.service);
    if (!rollout || rollout->decision() != RolloutDecision::Undecided)
        return;
    const bool isCandidate = endpoint.entry().version == rollout->order().candidate;
    rollout->noteAnswer(
        m_request.route->name, isCandidate ? RunnerVersion::Candidate : RunnerVersion::Present, quality);
}

void RequestVersions::noteAnswerAfter(
    const RelayEndpoint& endpoint, Milliseconds latency, Milliseconds usualLatency) const
{
    const bool isSlow = latency > std::max(slowFactor * usualLatency, minSlowLatency);
    noteAnswer(endpoint, isSlow ? AnswerQuality::Bad : AnswerQuality::Good);
}

} // namespace lupinknot::internal
