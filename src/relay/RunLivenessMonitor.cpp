#include "relay/RunLivenessMonitor.h"

#include "http/HttpRoundTrip.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

Milliseconds shareOf(Milliseconds time, double share)
{
    return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * share) };
}

} // namespace

std::shared_ptr<RunLivenessMonitor> RunLivenessMonitor::make(
    RelayContext& context, const RelayRequest& request, Callbacks callbacks)
{
    return std::shared_ptr<RunLivenessMonitor>(new RunLivenessMonitor(context, request, std::move(callbacks)));
}

RunLivenessMonitor::RunLivenessMonitor(RelayContext& context, const RelayRequest& request, Callbacks callbacks)
    : m_context(context)
    , m_request(request)
    , m_callbacks(std::move(callbacks))
    , m_timer(context.ioContext)
{
}

RunLivenessMonitor::~RunLivenessMonitor() = default;

void RunLivenessMonitor::begin(std::shared_ptr<const StreamRun> run)
{
    m_question.reset();
    m_run = std::move(run);
    m_nextQuestionAt = m_context.now();
    armLook();
}

void RunLivenessMonitor::stop()
{
    m_run.reset();
    m_question.reset();
    m_timer.cancel();
}

void RunLivenessMonitor::armLook()
{
    m_timer.expires_after(m_context.settings.probeAfterSilenceInDoubt);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->m_run)
            self->look();
    });
}

void RunLivenessMonitor::look()
{
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    const auto longestSilence = shareOf(m_request.route->longestPause, settings.moveAfterPauseShare);
    if (m_run->hasEvent && now - m_run->lastActivity >= longestSilence && m_request.route->mayRunAgain()) {
        reportSilent();
        return;
    }
    // Other streams of the engine show that it lives, too.
    const auto silence = now - std::max(m_run->lastActivity, m_run->endpoint->lastAliveAt());
    const bool mayAsk = m_context.has(Policy::LivenessQuestions) && !m_run->endpoint->isInBackOff(now);
    if (mayAsk && silence >= silenceBeforeProbe(now) && now >= m_nextQuestionAt && !m_question)
        ask();
    m_callbacks.looked();
    if (m_run)
        armLook();
}

Milliseconds RunLivenessMonitor::silenceBeforeProbe(Milliseconds now) const
{
    const auto& settings = m_context.settings;
    const auto& pace = m_context.pace(m_request.service);
    if (m_context.directory.isZoneAvoided(m_run->endpoint->entry().availabilityZone, now))
        return settings.probeAfterSilenceInDoubt;
    if (m_run->hasEvent || m_run->isFromCopy)
        return pace.silenceBeforeProbe(settings.probeAfterSilence);
    return settings.prefillPatience + pace.silenceBeforeFirstEvent(m_request.fields.promptTokens);
}

void RunLivenessMonitor::ask()
{
    m_nextQuestionAt = m_context.now() + m_context.settings.probeInterval;
    m_context.metrics.engineProbes.Increment();
    m_question = HttpRoundTrip::ask(m_context.ioContext, m_run->endpoint->openConnection(),
        m_context.protocol.encodeStateQuery(), m_context.settings.probeTimeout,
        [weak = weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->answered(outcome);
        });
}

void RunLivenessMonitor::answered(const HttpRoundTripResult& outcome)
{
    const auto question = std::exchange(m_question, nullptr);
    if (!m_run)
        return;
    const auto now = m_context.now();
    if (outcome.answer) {
        m_run->endpoint->noteAlive(now);
        m_run->endpoint->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), now);
    } else if (m_request.route->mayRunAgain())
        reportSilent();
}

void RunLivenessMonitor::reportSilent()
{
    stop();
    m_callbacks.silent();
}

} // namespace lupinknot::internal
