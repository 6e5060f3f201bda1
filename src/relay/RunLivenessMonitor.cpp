#include "relay/RunLivenessMonitor.h"

#include "http/HttpRoundTrip.h"
#include "relay/EndpointCall.h"
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
    m_probe.reset();
    m_run = std::move(run);
    m_nextProbeAt = m_context.now();
    // For a run that is still silent, a search for a substitute has just failed.
    m_reportInterval = m_run->silence ? m_context.settings.maxSilenceReportInterval : m_context.settings.probeInterval;
    m_nextReportAt = m_context.now() + m_reportInterval;
    m_hasProbeFailed = false;
    scheduleCheck();
}

void RunLivenessMonitor::noteEvent()
{
    m_probe.reset();
    m_reportInterval = m_context.settings.probeInterval;
}

void RunLivenessMonitor::stop()
{
    m_run.reset();
    m_probe.reset();
    m_timer.cancel();
}

void RunLivenessMonitor::scheduleCheck()
{
    m_timer.expires_after(m_context.settings.probeAfterSilenceWhenSuspected);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->m_run)
            self->check();
    });
}

void RunLivenessMonitor::check()
{
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    if (m_run->silence) {
        if (now >= m_nextReportAt)
            reportSilent(*m_run->silence);
        if (m_run)
            scheduleCheck();
        return;
    }
    const auto longestSilence = shareOf(m_request.route->longestPause, settings.moveAfterPauseShare);
    const auto lastProgress = std::max(m_run->lastActivity, m_run->answeredAgainAt);
    if (m_run->hasEvent && now - lastProgress >= longestSilence && m_request.route->mayRunAgain()) {
        reportSilent({ SilenceReason::Pause, true });
        if (m_run)
            scheduleCheck();
        return;
    }
    // Events of other streams also show that the engine is alive, but not that this run's connection works.
    const auto lastSign
        = isCutOff() ? m_run->lastActivity : std::max(m_run->lastActivity, m_run->endpoint->lastAliveAt());
    const auto silence = now - lastSign;
    const bool mayProbe = m_context.has(Policy::LivenessQuestions) && !m_run->endpoint->isInBackOff(now);
    if (mayProbe && silence >= silenceBeforeProbe(now) && now >= m_nextProbeAt && !m_probe)
        sendProbe();
    m_callbacks.onChecked();
    if (m_run)
        scheduleCheck();
}

Milliseconds RunLivenessMonitor::silenceBeforeProbe(Milliseconds now) const
{
    const auto& settings = m_context.settings;
    const auto& pace = m_context.pace(m_request.service);
    if (m_context.directory.isZoneAvoided(m_request.service, m_run->endpoint->entry().availabilityZone, now))
        return settings.probeAfterSilenceWhenSuspected;
    if (m_run->hasEvent || m_run->isFromCopy)
        return pace.silenceBeforeProbe(settings.probeAfterSilence);
    return settings.prefillMargin + pace.silenceBeforeFirstEvent(m_request.fields.promptTokens);
}

void RunLivenessMonitor::sendProbe()
{
    m_nextProbeAt = m_context.now() + m_context.settings.probeInterval;
    m_context.metrics.engineProbes.Increment();
    m_probe = HttpRoundTrip::ask(m_context.ioContext, m_run->endpoint->openConnection(),
        m_context.protocol.encodeStateQuery(), m_context.settings.probeTimeout,
        [weak = weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->handleProbeAnswer(outcome);
        });
}

void RunLivenessMonitor::handleProbeAnswer(const HttpRoundTripResult& outcome)
{
    const auto probe = std::exchange(m_probe, nullptr);
    if (!m_run)
        return;
    const auto now = m_context.now();
    m_hasProbeFailed = outcome.answer == nullptr;
    // An answer that came through another VM says nothing about the run's own connection.
    if (outcome.answer && !isCutOff()) {
        m_run->endpoint->noteAlive(now);
        m_run->endpoint->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), now);
    } else if (m_request.route->mayRunAgain())
        reportSilent({ SilenceReason::NoAnswer, outcome.isConnected });
}

bool RunLivenessMonitor::isCutOff() const { return m_run->call && m_run->call->mayHang(); }

void RunLivenessMonitor::reportSilent(const RunSilence& silence)
{
    m_probe.reset();
    m_nextReportAt = m_context.now() + m_reportInterval;
    m_reportInterval = std::min(2 * m_reportInterval, m_context.settings.maxSilenceReportInterval);
    m_callbacks.onSilent(silence);
}

} // namespace lupinknot::internal
