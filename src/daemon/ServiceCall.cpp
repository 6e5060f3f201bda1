#include "daemon/ServiceCall.h"

#include "common/Log.h"
#include "daemon/EndpointTable.h"
#include "daemon/Metrics.h"
#include "http/HttpCallGroup.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

constexpr auto requestKind = "service";
constexpr Milliseconds shortestTry { 1 };
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
    // A caller can be gone before the call begins.
    if (!m_isOver)
        tryNext();
}

void ServiceCall::headerArrived(unsigned status, const HttpHeaders& headers)
{
    const std::lock_guard lock(m_mutex);
    m_response.status = status;
    m_response.headers = headers.endToEnd();
    m_response.body.clear();
}

void ServiceCall::bodyArrived(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    m_response.body.append(piece);
    if (m_response.body.size() <= maxResponseBytes)
        return;
    endTry(std::nullopt);
    refuse({ 502, "response_too_large",
        "the service's response is larger than the limit of " + std::to_string(maxResponseBytes) + " bytes", "",
        RunOutcome::Unknown, {} });
    boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

void ServiceCall::ended()
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    endTry(std::nullopt);
    m_isOver = true;
    m_context.metrics.countRequest(requestKind, m_response.status);
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
    m_avoid.push_back(m_endpoint->settings().name);
    endTry(failureKindOf(failure));
    if (mayTryAgain(failure)) {
        tryNext();
        return;
    }
    const bool isLate = failure == HttpCallFailure::TimedOut;
    const auto outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
    refuse({ isLate ? 504U : 502U, isLate ? "deadline_exceeded" : "service_lost",
        "the call to the service failed: " + std::string(nameIn(httpCallFailureNames, failure)), "", outcome, {} });
}

void ServiceCall::tryNext()
{
    ++m_tries;
    const auto left = m_deadline - m_context.clock.now();
    m_endpoint = m_context.endpoints.chooseAmong(m_service.endpoints, { subject(), m_avoid });
    if (!m_endpoint || left <= Milliseconds::zero()) {
        const auto outcome = m_mayHaveRun ? RunOutcome::Unknown : RunOutcome::NotRun;
        refuse({ 503, "no_endpoint", "no endpoint of the service can take the call", "", outcome, retryAfter });
        return;
    }
    // A silent endpoint must not use up the time of the tries that may follow; where none may, it has all of it.
    const auto triesLeft = m_repeatable ? m_service.maxAttempts - m_tries + 1 : 1;
    m_endpoint->workStarted();
    m_call = m_context.calls.start(m_endpoint->settings().socketAddress(), outgoing(),
        std::max(shortestTry, left / triesLeft), shared_from_this());
}

HttpRequest ServiceCall::outgoing() const
{
    const auto& incoming = m_exchange->request();
    return { incoming.method, incoming.target, incoming.headers.endToEnd(), incoming.body };
}

void ServiceCall::endTry(std::optional<FailureKind> failure) { m_endpoint->workEnded(failure, m_context.clock.now()); }

bool ServiceCall::mayTryAgain(HttpCallFailure failure) const
{
    if (m_tries >= m_service.maxAttempts)
        return false;
    return m_repeatable || failure == HttpCallFailure::NotConnected;
}

void ServiceCall::refuse(const JsonError& error)
{
    m_isOver = true;
    m_context.metrics.countRequest(requestKind, error.status);
    m_context.metrics.countRefusal(error.outcome);
    logInfo(LogComponent::Service,
        subject() + " is refused with " + std::to_string(error.status) + ": " + error.message + ".");
    m_exchange->respond(errorResponse(error));
}

// The caller has gone: nobody waits, and the endpoint may stop where it can.
void ServiceCall::cancel()
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    m_isOver = true;
    m_context.metrics.callersGone.Increment();
    if (!m_call)
        return;
    endTry(std::nullopt);
    boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

std::string ServiceCall::subject() const
{
    return "service " + m_service.name + " call " + m_exchange->request().method + " "
        + std::string(m_exchange->request().path()) + " try " + std::to_string(m_tries);
}

} // namespace lupinknot::internal
