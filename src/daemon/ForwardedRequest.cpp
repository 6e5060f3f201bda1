#include "daemon/ForwardedRequest.h"

#include "common/Log.h"
#include "daemon/Cluster.h"
#include "http/HttpCallGroup.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace lupinknot::internal {

namespace {

// The other VM enforces the deadline; this timeout is a safeguard.
constexpr Milliseconds callTimeout { 86400000 };

} // namespace

ForwardedRequest::ForwardedRequest(
    const GenerationContext& context, std::shared_ptr<HttpExchange> exchange, std::string vm)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_vm(std::move(vm))
{
}

void ForwardedRequest::start(const SocketAddress& address, unsigned hops)
{
    m_exchange->onPeerDisconnected([self = shared_from_this()] { self->callerDisconnected(); });
    const auto& incoming = m_exchange->request();
    HttpRequest outgoing { incoming.method, incoming.target, {}, incoming.body };
    const auto endToEndHeaders = incoming.headers.endToEnd();
    for (const auto& field : endToEndHeaders.fields()) {
        if (field.name != hopsHeader)
            outgoing.headers.add(field.name, field.value);
    }
    outgoing.headers.add(hopsHeader, std::to_string(hops));
    {
        const std::lock_guard lock(m_mutex);
        // The caller can disconnect before the call starts.
        if (m_isCallerDisconnected)
            return;
        m_call = m_context.calls.start(address, outgoing, callTimeout, shared_from_this());
    }
    m_context.cluster.watch(m_vm, shared_from_this());
}

void ForwardedRequest::headerArrived(unsigned status, const HttpHeaders& headers)
{
    const std::lock_guard lock(m_mutex);
    m_response = { status, headers.endToEnd(), {} };
    m_isStream = headers.find("Content-Type") == "text/event-stream";
    if (m_isStream)
        m_exchange->stream(m_response, shared_from_this());
}

void ForwardedRequest::bodyArrived(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    m_unsentBytes.append(piece);
    if (m_isStream)
        m_exchange->wake();
}

void ForwardedRequest::ended()
{
    const std::lock_guard lock(m_mutex);
    m_isEnded = true;
    if (m_isStream) {
        m_exchange->wake();
        return;
    }
    m_response.body = std::move(m_unsentBytes);
    m_exchange->respond(std::move(m_response));
}

void ForwardedRequest::failed(HttpCallFailure failure, const std::string&)
{
    const std::lock_guard lock(m_mutex);
    logWarning(LogComponent::Caller,
        "a request forwarded to VM " + m_vm + " failed: " + std::string(nameIn(httpCallFailureNames, failure)) + ".");
    if (m_isStream) {
        m_exchange->abort();
        return;
    }
    if (!m_isCallerDisconnected)
        m_onLost();
}

HttpBodyPiece ForwardedRequest::next()
{
    const std::lock_guard lock(m_mutex);
    return { std::exchange(m_unsentBytes, {}), m_isEnded };
}

void ForwardedRequest::peerLost()
{
    const std::lock_guard lock(m_mutex);
    if (m_isEnded)
        return;
    m_isPeerLost = true;
    cancelCall();
}

void ForwardedRequest::callerDisconnected()
{
    const std::lock_guard lock(m_mutex);
    m_isCallerDisconnected = true;
    cancelCall();
}

// Posted, because cancelling may run callbacks of the call that take the lock.
void ForwardedRequest::cancelCall()
{
    if (m_call)
        boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

} // namespace lupinknot::internal
