#include "relay/RequestVersions.h"

#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"

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

void RequestVersions::noteSent()
{
    m_hasSent = true;
    m_isContinuationCounted = false;
}

bool RequestVersions::isIndistinct(const std::string& version) const
{
    return version.empty() && m_context.directory.versions().versionsOf(m_request.service, m_context.now()).size() > 1;
}

bool RequestVersions::mayContinueAt(const std::string& version) const
{
    const auto* const rollout = m_context.rollouts.find(m_request.service);
    return !isIndistinct(version) && (!rollout || rollout->admitsContinuation(version, m_context.now()));
}

VersionChoice RequestVersions::continuation()
{
    if (!mayContinueAt(*m_boundVersion))
        return { VersionChoice::Rule::None, "" };
    auto* const rollout = m_context.rollouts.find(m_request.service);
    if (rollout && rollout->order().candidate == *m_boundVersion && !m_isContinuationCounted) {
        if (!rollout->tryContinueAtCandidate(m_context.now()))
            return { VersionChoice::Rule::None, "" };
        m_isContinuationCounted = true;
    }
    return { VersionChoice::Rule::Only, *m_boundVersion };
}

bool RequestVersions::isBoundVersionGone() const
{
    if (!m_boundVersion)
        return false;
    const auto now = m_context.now();
    const auto* const rollout = m_context.rollouts.find(m_request.service);
    if (isIndistinct(*m_boundVersion) || (rollout && rollout->isExcluded(*m_boundVersion, now)))
        return true;
    auto& directory = m_context.directory;
    const auto missingSince = directory.versionMissingSince(m_request.service, *m_boundVersion, now);
    if (!missingSince)
        return false;
    const auto goneAt = *missingSince + m_context.settings.versionGoneAfter;
    if (now < goneAt)
        return false;
    // An endpoint of the version may have been listed since.
    if (!directory.versions().isKnownAsOf(goneAt)) {
        directory.versions().requestUpdate();
        return false;
    }
    return true;
}

VersionChoice RequestVersions::next()
{
    if (m_boundVersion)
        return continuation();
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
    const auto& version = engine.entry().version;
    return { mayContinueAt(version) ? VersionChoice::Rule::Only : VersionChoice::Rule::None, version };
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
