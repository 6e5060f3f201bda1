#include "relay/EndpointCall.h"

#include "common/ByteSizes.h"
#include "common/EventLog.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

// Answers that do not belong to the delivery, after which the connection is given up.
constexpr unsigned maxSkippedAnswers = 8;
constexpr std::size_t maxSkippedBytes = 4 * mebibyte;
// Bytes that a connection may hold of a response before they count.
constexpr std::size_t minCountedBytes = 8 * kibibyte;

FailureKind failureKindOf(ClientFailure failure)
{
    switch (failure) {
    case ClientFailure::NotConnected:
        return FailureKind::ConnectionRefused;
    case ClientFailure::ClosedBeforeResponse:
        return FailureKind::ConnectionLost;
    case ClientFailure::Truncated:
        return FailureKind::EarlyEnd;
    case ClientFailure::Malformed:
        return FailureKind::MalformedEvent;
    }
    return FailureKind::ConnectionLost;
}

} // namespace

std::shared_ptr<EndpointCall> EndpointCall::start(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint,
    const HttpRequest& request, EndpointCallOptions options, std::weak_ptr<EndpointCallListener> listener)
{
    std::shared_ptr<EndpointCall> call(
        new EndpointCall(context, std::move(endpoint), std::move(options), std::move(listener)));
    call->m_connection = call->m_endpoint->takeConnection(call->m_startedAt,
        { call->m_options.maxIdleTime, context.settings.idleTimeoutMargin, call->m_options.earlierConnections });
    const bool isKept = call->m_connection->isIdle();
    call->m_connection->send(request, call->weak_from_this());
    if (isKept && call->m_options.checkAfter > Milliseconds { 0 })
        call->armCheck();
    return call;
}

void EndpointCall::armCheck()
{
    m_checkTimer.expires_after(m_options.checkAfter);
    m_checkTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isOver)
            self->m_endpoint->checkReachable();
    });
}

EndpointCall::EndpointCall(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, EndpointCallOptions options,
    std::weak_ptr<EndpointCallListener> listener)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_options(std::move(options))
    , m_listener(std::move(listener))
    , m_startedAt(context.now())
    , m_checkTimer(context.ioContext)
{
    m_endpoint->callStarted();
}

EndpointCall::~EndpointCall() { cancel(); }

void EndpointCall::cancel()
{
    if (m_isOver)
        return;
    m_hadSent = m_connection->hasSent();
    end();
    m_connection->close();
}

void EndpointCall::end()
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_held.reset();
    boost::system::error_code ignored;
    m_checkTimer.cancel(ignored);
    m_endpoint->callEnded();
}

AnswerAttribution EndpointCall::attributionOfAnswer(const AnswerFields& fields) const
{
    const auto& earlier = m_options.earlierConnections;
    const bool hasEarlierDelivery = std::find(earlier.begin(), earlier.end(), m_connection->number()) != earlier.end();
    return attributionOf(m_options.requestId, fields.requestId, hasEarlierDelivery);
}

void EndpointCall::noteDoubtfulAnswer(
    const HttpResponse& head, const AnswerFields& fields, AnswerAttribution attribution) const
{
    LogEvent("answer.doubtful")
        .text("request", m_options.requestId)
        .text("answer_for", fields.requestId)
        .text("attribution", nameIn(answerAttributionNames, attribution))
        .text("endpoint", m_endpoint->entry().id)
        .number("connection", static_cast<std::int64_t>(m_connection->number()))
        .number("status", head.status)
        .flag("says_not_run", fields.isNotRun)
        .flag("signed", fields.isSigned)
        .write();
    m_context.metrics.countDoubtfulAnswer(attribution, fields.isNotRun);
}

void EndpointCall::responseHeaderReceived(const HttpResponse& head)
{
    m_checkTimer.cancel();
    const auto fields = m_context.protocol.decodeAnswer(head);
    const auto now = m_context.now();
    const auto attribution = attributionOfAnswer(fields);
    m_isSkipping = attribution != AnswerAttribution::ThisDelivery;
    if (m_isSkipping) {
        noteDoubtfulAnswer(head, fields, attribution);
        return;
    }
    // Unsigned bytes and responses of another process at the address are no evidence about this endpoint.
    const bool isFromEndpoint = (fields.isSigned || fields.isNotRun) && !fields.isOtherIncarnation;
    m_isFromEndpoint = isFromEndpoint;
    if (fields.isOtherIncarnation)
        m_endpoint->noteReplaced();
    if (isFromEndpoint) {
        m_endpoint->confirmAlive(now);
        m_endpoint->noteSignals(fields, now);
        if (fields.load.load && fields.load.load->pace)
            m_context.enginePaces.noteStatedPace(m_endpoint->entry().service, *fields.load.load->pace, now);
    }
    if (isFromEndpoint)
        m_endpoint->noteRejections({ fields.toleratedRejections, fields.isNotRun, m_startedAt },
            m_context.settings.vmCount(), m_context.settings.vmName, now);
    if (isFromEndpoint && m_endpoint->noteLimit(fields.limit, m_startedAt, now))
        m_context.permits->reportLimit(m_endpoint->entry().incarnationName(), m_endpoint->limitReport(now));
    if (const auto listener = m_listener.lock())
        listener->callHeader(*this, head, fields);
}

void EndpointCall::responseBodyReceived(std::string_view piece)
{
    if (m_isOver)
        return;
    if (m_isSkipping) {
        m_skippedBytes += piece.size();
        if (m_skippedBytes > maxSkippedBytes)
            giveUp();
        return;
    }
    if (m_isFromEndpoint)
        m_endpoint->confirmAlive(m_context.now());
    if (const auto listener = m_listener.lock())
        listener->callBody(*this, piece);
}

void EndpointCall::responseBytesHeld(std::size_t bytes)
{
    if (m_isOver)
        return;
    if (!m_held && bytes < minCountedBytes)
        return;
    if (!m_held)
        m_held = m_context.answerMemory->open([weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->m_isOver) {
                self->m_context.metrics.answersTooLarge.Increment();
                self->giveUp();
            }
        });
    m_held->set(bytes);
}

bool EndpointCall::responseEnded()
{
    if (m_isOver)
        return false;
    const auto self = shared_from_this();
    if (m_isSkipping) {
        m_isSkipping = false;
        if (++m_skippedAnswers <= maxSkippedAnswers)
            return true;
        giveUp();
        return false;
    }
    m_hadSent = true;
    end();
    m_endpoint->noteAlive(m_context.now());
    // The connection becomes idle, if at all, only after this callback returns.
    boost::asio::post(m_context.ioContext, [&context = m_context, endpoint = m_endpoint, connection = m_connection] {
        endpoint->giveBack(connection, context.now());
    });
    if (const auto listener = m_listener.lock())
        listener->callEnded(*this);
    return false;
}

void EndpointCall::giveUp()
{
    if (m_isOver)
        return;
    m_connection->close();
    connectionFailed(ClientFailure::Malformed);
}

void EndpointCall::connectionFailed(ClientFailure failure)
{
    if (m_isOver)
        return;
    const auto self = shared_from_this();
    m_hadSent = m_connection->hasSent();
    end();
    if (const auto listener = m_listener.lock())
        listener->callFailed(*this, failureKindOf(failure));
}

} // namespace lupinknot::internal
