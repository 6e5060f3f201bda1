#include "relay/StreamTiming.h"

#include "common/EventLog.h"
#include "relay/Policy.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayRequest.h"
#include "relay/StreamRun.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// A request is refused in advance only if it would miss its deadline even with the fastest 5% of the measured times.
constexpr double fastestQuantile = 0.05;

} // namespace

StreamTiming::StreamTiming(RelayContext& context, const RelayRequest& request)
    : m_context(context)
    , m_request(request)
{
}

std::uint32_t StreamTiming::tokensPerEvent() const
{
    const auto* service = m_context.configuration->findService(m_request.service);
    return service ? service->tokensPerEvent : 0;
}

std::int64_t StreamTiming::maxEvents() const
{
    const auto tokens = tokensPerEvent();
    return tokens == 0 ? 0 : static_cast<std::int64_t>(m_request.fields.maxAnswerTokens / tokens);
}

Milliseconds StreamTiming::timeToFinish(std::uint64_t lastEventId, bool isPromptKept) const
{
    const auto& pace = m_context.pace(m_request.service);
    const auto prefillTime
        = isPromptKept ? 0.0 : pace.prefillTimePerToken.quantile(fastestQuantile) * m_request.fields.promptTokens;
    const auto minEvents = pace.answerShare.quantile(fastestQuantile) * static_cast<double>(maxEvents());
    const auto missing = std::max(minEvents - static_cast<double>(lastEventId), 0.0);
    return Milliseconds { static_cast<std::int64_t>(
        std::ceil(prefillTime + missing * pace.eventInterval.quantile(fastestQuantile))) };
}

bool StreamTiming::lacksTimeToFinish(std::uint64_t lastEventId, bool isPromptKept) const
{
    const auto& pace = m_context.pace(m_request.service);
    const auto needed = timeToFinish(lastEventId, isPromptKept);
    const auto left = m_request.deadline - m_context.now();
    if (needed <= left)
        return false;
    LogEvent("stream.lacks-time")
        .text("request", m_request.fields.requestId)
        .number("left_ms", left.count())
        .number("needed_ms", needed.count())
        .number("after_event", static_cast<std::int64_t>(lastEventId))
        .flag("is_prompt_kept", isPromptKept)
        .number("samples", static_cast<std::int64_t>(pace.eventInterval.sampleCount()))
        .number("newest_sample_age_ms", (m_context.now() - pace.eventInterval.newestAt()).count())
        .write();
    return true;
}

Milliseconds StreamTiming::nextEventDue() const
{
    const auto& route = *m_request.route;
    return m_lastEventAt ? *m_lastEventAt + route.longestPause : m_request.firstAttemptAt + route.objective;
}

void StreamTiming::noteEvents(Milliseconds now)
{
    m_isLate = m_isLate || now > nextEventDue();
    m_lastEventAt = now;
}

bool StreamTiming::canBeInTime(Milliseconds timeToNextEvent, Milliseconds now) const
{
    return !m_isLate && now + timeToNextEvent <= nextEventDue();
}

Milliseconds StreamTiming::shortestPrefillTime() const
{
    const auto perToken = m_context.pace(m_request.service).prefillTimePerToken.quantile(fastestQuantile);
    return Milliseconds { static_cast<std::int64_t>(perToken * m_request.fields.promptTokens) };
}

void StreamTiming::recordFirstEvent(const StreamRun& run, Milliseconds now)
{
    const auto lead = std::max(now - run.headerReceivedAt.value_or(now), Milliseconds { 1 });
    m_context.pace(m_request.service).headerLead.add(static_cast<double>(lead.count()), now);
}

UnfinishedRun StreamTiming::describeUnfinishedRun(const StreamRun& run, FailureKind kind, Milliseconds now)
{
    auto& pace = m_context.pace(m_request.service);
    pace.headersShowStart = pace.headersShowStart || (run.headerReceivedAt && !run.hasEvent);
    const auto withoutHeader = pace.headersShowStart ? RunStart::NotYet : RunStart::Hidden;
    const auto withHeader = pace.sendsHeadersEarly() ? RunStart::Hidden : RunStart::Begun;
    const auto withoutEvent = run.headerReceivedAt ? withHeader : withoutHeader;
    const auto since = run.firstEventAt.value_or(run.headerReceivedAt.value_or(run.startedAt));
    // A broken connection shows that the engine was alive until then; silence does not.
    const auto lastSign = kind == FailureKind::Silent ? std::max(since, run.lastActivity) : now;
    return { kind, run.hasEvent ? RunStart::Producing : withoutEvent, lastSign - since };
}

// Only the first attempt from the start of a stream shows how fast engines prefill prompts; for others the engine may
// have parts of the prompt cached.
void StreamTiming::recordPromptTime(const StreamRun& run, Milliseconds now)
{
    const auto tokens = m_request.fields.promptTokens;
    if (tokens == 0 || m_request.fields.lastEventId || run.isFromCopy || !m_context.has(Policy::LearnedPace))
        return;
    auto& pace = m_context.pace(m_request.service);
    const auto timePerToken = static_cast<double>((now - run.startedAt).count()) / tokens;
    pace.prefillTimePerToken.add(timePerToken, now);
    pace.prefillTimeAtUsualPace.add(
        timePerToken / m_context.enginePaces.paceOf(m_request.service, run.endpoint->entry().address, now), now);
    pace.promptTokens.add(tokens, now);
}

void StreamTiming::recordEnginePace(const StreamRun& run, Milliseconds now)
{
    const auto interval = run.gaps.shortestTenth();
    if (interval && m_context.has(Policy::LearnedPace))
        m_context.enginePaces.noteRun(m_request.service, run.endpoint->entry().address, *interval, now);
}

void StreamTiming::recordCompleteAnswer(std::uint64_t lastEventId, std::size_t events, Milliseconds time)
{
    if (!m_context.has(Policy::LearnedPace))
        return;
    auto& pace = m_context.pace(m_request.service);
    const auto now = m_context.now();
    if (maxEvents() > 0)
        pace.answerShare.add(static_cast<double>(lastEventId) / static_cast<double>(maxEvents()), now);
    if (events > 1)
        pace.eventInterval.add(static_cast<double>(time.count()) / static_cast<double>(events - 1), now);
}

} // namespace lupinknot::internal
