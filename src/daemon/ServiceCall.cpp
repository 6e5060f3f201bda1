#include "daemon/ServiceCall.h"

#include "common/Log.h"
#include "daemon/EndpointTable.h"
#include "daemon/Metrics.h"
#include "http/HttpCallGroup.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

constexpr auto requestKind = "service";
constexpr Milliseconds minAttemptTimeout { 1 };
constexpr Milliseconds retryAfter { 1000 };

FailureKind failureKindOf(HttpCallFailure failure)
{
    if (failure == HttpCallFailure::NotConnected)
        return FailureKind::ConnectionRefused;
    return failure == HttpCallFailure::TimedOut ? FailureKind::Silent : FailureKind::ConnectionLost;
}

} // namespace

ServiceCall::ServiceCall(const GenerationContext& context, const ServiceSettings& service,
    std::shared_ptr<HttpExchange> exchange, bool repeatable)
    : m_context(context)
    , m_service(service)
    , m_exchange(std::move(exchange))
    , m_repeatable(repeatable)
    , m_deadline(context.clock.now() + service.deadline)
{
}

void ServiceCall::start()
{
    m_exchange->onPeerDisconnected([self = shared_from_this()] { self->cancel(); });
    const std::lock_guard lock(m_mutex);
    // The caller can disconnect before the call starts.
    if (!m_isOver)
        startNextAttempt();
}

void ServiceCall::headerArrived(unsigned status, const HttpHeaders& headers)
{
    const std::lock_guard lock(m_mutex);
    m_response.status = status;
    m_response.headers = headers.endToEnd();
    // Assigning an empty text would keep the memory.
    std::string().swap(m_response.body);
    m_held.reset();
}

void ServiceCall::bodyArrived(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    m_response.body.append(piece);
    if (m_response.body.size() > maxResponseBytes) {
        giveUpLarge();
        return;
    }
    if (!m_held)
        m_held = m_context.answerMemory.open([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            const std::lock_guard selfLock(self->m_mutex);
            if (!self->m_isOver)
                self->giveUpLarge();
        });
    m_held->add(piece.size());
}

void ServiceCall::giveUpLarge()
{
    endAttempt(std::nullopt);
    refuse({ 502, "response_too_large",
        "the service's response is larger than the limit of " + std::to_string(maxResponseBytes)
            + " bytes, or all responses together take too much memory",
        "", RunOutcome::Unknown, {} });
    m_response = {};
    m_held.reset();
    boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

void ServiceCall::ended()
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    endAttempt(std::nullopt);
    m_isOver = true;
    m_context.metrics.countRequest(requestKind, m_response.status);
    m_response.heldUntilSent = std::move(m_held);
    m_exchange->respond(std::move(m_response));
}

void ServiceCall::failed(HttpCallFailure failure, const std::string& message)
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    logWarning(LogComponent::Service,
        subject() + " failed on " + m_endpoint->settings().name + ": "
            + std::string(nameIn(httpCallFailureNames, failure)) + " (" + message + ").");
    m_mayHaveRun = m_mayHaveRun || failure != HttpCallFailure::NotConnected;
    m_failedEndpoints.push_back(m_endpoint->settings().name);
    std::string().swap(m_response.body);
    m_held.reset();
    endAttempt(failureKindOf(failure));
    if (mayRetry(failure)) {
        startNextAttempt();
        return;
    }
    const bool hasTimedOut = failure == HttpCallFailure::TimedOut;
    const auto outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
    refuse({ hasTimedOut ? 504U : 502U, hasTimedOut ? "deadline_exceeded" : "service_lost",
        "the call to the service failed: " + std::string(nameIn(httpCallFailureNames, failure)), "", outcome, {} });
}

void ServiceCall::startNextAttempt()
{
    ++m_attempts;
    const auto timeLeft = m_deadline - m_context.clock.now();
    m_endpoint = m_context.endpoints.chooseAmong(m_service.endpoints, { subject(), m_failedEndpoints });
    if (!m_endpoint || timeLeft <= Milliseconds::zero()) {
        const auto outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
        refuse({ 503, "no_endpoint", "no endpoint of the service can take the call", "", outcome, retryAfter });
        return;
    }
    // A silent endpoint must not use up the time of later attempts; the last possible attempt gets all the remaining
    // time.
    const auto attemptsLeft = m_repeatable ? m_service.maxAttempts - m_attempts + 1 : 1;
    m_endpoint->workStarted();
    m_call = m_context.calls.start(m_endpoint->settings().socketAddress(), endpointRequest(),
        std::max(minAttemptTimeout, timeLeft / attemptsLeft), shared_from_this());
}

HttpRequest ServiceCall::endpointRequest() const
{
    const auto& incoming = m_exchange->request();
    const auto forwarded = incoming.headers.endToEnd();
    HttpHeaders headers;
    for (const auto& field : forwarded.fields()) {
        // The body has arrived and follows at once, so that the endpoint must not ask for it.
        if (!boost::algorithm::iequals(field.name, "expect"))
            headers.add(field.name, field.value);
    }
    return { incoming.method, incoming.target, std::move(headers), incoming.body };
}

void ServiceCall::endAttempt(std::optional<FailureKind> failure)
{
    m_endpoint->workEnded(failure, m_context.clock.now());
}

bool ServiceCall::mayRetry(HttpCallFailure failure) const
{
    if (m_attempts >= m_service.maxAttempts)
        return false;
    return m_repeatable || failure == HttpCallFailure::NotConnected;
}

void ServiceCall::refuse(const JsonError& error)
{
    m_isOver = true;
    m_context.metrics.countRequest(requestKind, error.status);
    m_context.metrics.countRefusal(error.outcome);
    logInfo(LogComponent::Service,
        subject() + " is refused with status " + std::to_string(error.status) + ": " + error.message + ".");
    m_exchange->respond(errorResponse(error));
}

// Called when the caller disconnects: the response is no longer needed, and the endpoint may stop its work if it can.
void ServiceCall::cancel()
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    m_isOver = true;
    m_context.metrics.callersDisconnected.Increment();
    if (!m_call)
        return;
    endAttempt(std::nullopt);
    boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

std::string ServiceCall::subject() const
{
    return "service " + m_service.name + " call " + m_exchange->request().method + " "
        + std::string(m_exchange->request().path()) + " attempt " + std::to_string(m_attempts);
}

} // namespace lupinknot::internal
