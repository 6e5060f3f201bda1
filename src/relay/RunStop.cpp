#include "relay/RunStop.h"

#include "common/EventLog.h"
#include "copies/HandleRelease.h"
#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/EndedRuns.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>

namespace lupinknot::internal {

RunStopResult runStopResultOf(const MoveRunAnswer& answer)
{
    if (answer.isCopied || !answer.handle.empty())
        return RunStopResult::Stopped;
    return answer.status == MoveRunStatus::UnknownRun ? RunStopResult::NotRunning : RunStopResult::Pending;
}

std::shared_ptr<RunStop> RunStop::start(
    RelayContext& context, const EndedRun& run, const std::shared_ptr<RelayEndpoint>& target, std::string handleInUse)
{
    std::shared_ptr<RunStop> stop(new RunStop(context, run, target, std::move(handleInUse)));
    stop->m_lifetime.expires_after(context.settings.runStopTimeout);
    stop->m_lifetime.async_wait([stop](boost::system::error_code) {
        stop->m_retryTimer.cancel();
        stop->finish(RunStopResult::Unanswered);
        stop->m_requests.clear();
        stop->m_closedAt = stop->m_context.now();
    });
    stop->send();
    return stop;
}

RunStop::RunStop(
    RelayContext& context, const EndedRun& run, const std::shared_ptr<RelayEndpoint>& target, std::string handleInUse)
    : m_context(context)
    , m_engine(run.engine)
    , m_target(target->entry().address)
    , m_targetId(target->entry().id)
    , m_requestId(run.requestId)
    , m_handleInUse(std::move(handleInUse))
    , m_contact(run.contact)
    , m_startedAt(context.now())
    , m_retryTimer(context.ioContext)
    , m_lifetime(context.ioContext)
{
}

bool RunStop::mayTakeEffect() const
{
    return mustSendAgain() || (m_unanswered > 0 && !(m_closedAt && m_engine->lastAliveAt() > *m_closedAt));
}

bool RunStop::mustSendAgain() const
{
    return !m_sendsNoMore && m_sent < m_context.settings.runStopRequests && m_result == RunStopResult::Pending;
}

StopState RunStop::state(Milliseconds now) const
{
    const bool hasSent
        = std::any_of(m_requests.begin(), m_requests.end(), [](const auto& request) { return request->hasSent(); });
    auto progress = hasSent ? StopProgress::Sent : StopProgress::Unsent;
    if (m_result != RunStopResult::Pending)
        progress = StopProgress::Decided;
    else if (m_isBusy)
        progress = StopProgress::Busy;
    return { progress, m_contact, now - m_startedAt };
}

void RunStop::keepHandle(const std::string& handle)
{
    m_keptHandle = handle;
    if (m_mustFreeMemory)
        freeMemory();
}

void RunStop::sendNoMore()
{
    m_sendsNoMore = true;
    m_retryTimer.cancel();
}

bool RunStop::hasAnswer() const
{
    return m_isBusy || m_result == RunStopResult::Stopped || m_result == RunStopResult::NotRunning;
}

void RunStop::freeMemory()
{
    m_mustFreeMemory = true;
    if (const auto handle = std::exchange(m_keptHandle, {}); !handle.empty())
        HandleRelease::send(m_context, m_engine, handle);
}

void RunStop::send()
{
    ++m_sent;
    ++m_unanswered;
    m_requests.push_back(HttpRoundTrip::ask(m_context.ioContext, m_engine->openConnection(),
        m_context.protocol.encodeMoveRun(m_requestId, m_target, true), m_context.settings.runStopTimeout,
        [weak = weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->handleAnswer(outcome);
        }));
    sendAgainLater();
}

void RunStop::sendAgainLater()
{
    if (!mustSendAgain())
        return;
    m_retryTimer.expires_after(m_context.settings.runStopInterval);
    m_retryTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->m_result == RunStopResult::Pending)
            self->send();
    });
}

void RunStop::handleAnswer(const HttpRoundTripResult& outcome)
{
    if (!outcome.answer) {
        // The engine may have received the request unless no connection was established.
        if (outcome.wasResetOnConnect)
            --m_unanswered;
        else if (!outcome.isConnected)
            noteNotConnected(outcome.isBroken);
        return;
    }
    --m_unanswered;
    m_engine->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), m_context.now());
    const auto answer = m_context.protocol.decodeMoveRun(*outcome.answer);
    m_isBusy = answer.status == MoveRunStatus::Busy;
    if (m_isBusy) {
        --m_sent;
        ++m_busyAnswers;
        sendAgainLater();
    }
    if (!answer.handle.empty() && answer.handle != m_handleInUse)
        keepHandle(answer.handle);
    if (const auto result = runStopResultOf(answer); result != RunStopResult::Pending)
        finish(result);
    endIfDone();
}

void RunStop::noteNotConnected(bool isRefused)
{
    --m_unanswered;
    // No process listens where a connection is refused.
    if (isRefused || ++m_failedConnects >= m_context.settings.runStopConnectAttempts)
        finish(m_unanswered > 0 ? RunStopResult::Unanswered : RunStopResult::Unreachable);
    endIfDone();
}

void RunStop::endIfDone()
{
    if (m_result != RunStopResult::Pending && m_unanswered == 0)
        m_lifetime.cancel();
}

void RunStop::finish(RunStopResult result)
{
    if (m_result != RunStopResult::Pending)
        return;
    m_result = result;
    m_retryTimer.cancel();
    m_context.metrics.countRunStop(result);
    logResult();
}

void RunStop::logResult() const
{
    LogEvent("run.stopped", m_result == RunStopResult::NotRunning ? LogImportance::Routine : LogImportance::Notable)
        .text("request", m_requestId)
        .text("endpoint", m_engine->entry().id)
        .text("target", m_targetId)
        .text("result", nameIn(runStopResultNames, m_result))
        .number("requests", m_sent)
        .number("busy_answers", m_busyAnswers)
        .number("took_ms", (m_context.now() - m_startedAt).count())
        .write();
}

} // namespace lupinknot::internal
