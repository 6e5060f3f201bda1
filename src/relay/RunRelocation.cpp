#include "relay/RunRelocation.h"

#include "http/HttpRoundTrip.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

std::shared_ptr<RunRelocation> RunRelocation::start(RelayContext& context, std::shared_ptr<RelayEndpoint> source,
    std::shared_ptr<RelayEndpoint> target, std::string requestId, Milliseconds deadline, Callback callback)
{
    std::shared_ptr<RunRelocation> relocation(new RunRelocation(
        context, std::move(source), std::move(target), std::move(requestId), deadline, std::move(callback)));
    relocation->sendRequest();
    return relocation;
}

RunRelocation::RunRelocation(RelayContext& context, std::shared_ptr<RelayEndpoint> source,
    std::shared_ptr<RelayEndpoint> target, std::string requestId, Milliseconds deadline, Callback callback)
    : m_context(context)
    , m_source(std::move(source))
    , m_target(std::move(target))
    , m_requestId(std::move(requestId))
    , m_deadline(deadline)
    , m_callback(std::move(callback))
    , m_timer(context.ioContext)
{
}

void RunRelocation::sendRequest()
{
    const auto& settings = m_context.settings;
    const auto limit = m_isStopping ? m_deadline - m_context.now() : settings.relocationCopyTimeout;
    const auto request = m_context.protocol.encodeMoveRun(m_requestId, m_target->entry().address, m_isStopping);
    m_connection = m_source->openConnection();
    m_pendingRequest = HttpRoundTrip::ask(m_context.ioContext, m_connection, request, limit,
        [weak = weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->handleAnswer(outcome);
        });
}

void RunRelocation::noteStreamEnded()
{
    m_hasStreamEnded = true;
    m_timer.expires_after(m_context.settings.relocationStopTimeout);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->finish(RelocationResult::Unknown, "");
    });
}

void RunRelocation::handleAnswer(const HttpRoundTripResult& outcome)
{
    if (outcome.answer)
        m_source->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), m_context.now());
    const auto moved = outcome.answer ? m_context.protocol.decodeMoveRun(*outcome.answer) : MoveRunAnswer {};
    // The source has not received the request, so the run continues unless its stream has ended for another reason.
    if (!outcome.answer && !m_connection->hasSent() && !m_hasStreamEnded) {
        finish(RelocationResult::Refused, "");
        return;
    }
    if (!m_isStopping) {
        // The run also stays at the source when the source has requested a back-off in the meantime.
        if (!moved.isCopied || m_source->isInBackOff(m_context.now())) {
            finish(RelocationResult::Refused, "");
            return;
        }
        m_isStopping = true;
        sendRequest();
        return;
    }
    if (moved.isCopied)
        finish(RelocationResult::Moved, moved.handle);
    else if (!moved.handle.empty())
        finish(RelocationResult::Stopped, moved.handle);
    else
        finish(RelocationResult::Unknown, "");
}

void RunRelocation::finish(RelocationResult result, const std::string& handle)
{
    const auto self = shared_from_this();
    m_timer.cancel();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(result, handle);
}

} // namespace lupinknot::internal
