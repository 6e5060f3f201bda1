#include "http/HttpRoundTrip.h"

#include "http/RoundTripMemory.h"

#include <boost/asio/post.hpp>

namespace lupinknot::internal {

std::shared_ptr<HttpRoundTrip> HttpRoundTrip::ask(boost::asio::io_context& ioContext,
    std::shared_ptr<ClientConnection> connection, const HttpRequest& request, Milliseconds timeout, Callback callback,
    std::size_t maxBytes)
{
    std::shared_ptr<HttpRoundTrip> roundTrip(
        new HttpRoundTrip(ioContext, std::move(connection), std::move(callback), maxBytes));
    roundTrip->m_connection->send(request, roundTrip->weak_from_this());
    roundTrip->m_timer.expires_after(timeout);
    roundTrip->m_timer.async_wait([weak = roundTrip->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->fail("no-answer", false);
    });
    return roundTrip;
}

HttpRoundTrip::HttpRoundTrip(boost::asio::io_context& ioContext, std::shared_ptr<ClientConnection> connection,
    Callback callback, std::size_t maxBytes)
    : m_ioContext(ioContext)
    , m_connection(std::move(connection))
    , m_maxBytes(maxBytes)
    , m_callback(std::move(callback))
    , m_timer(ioContext)
{
}

HttpRoundTrip::~HttpRoundTrip()
{
    if (m_callback)
        m_connection->close();
}

void HttpRoundTrip::responseHeaderReceived(const HttpResponse& head)
{
    m_response.status = head.status;
    m_response.headers = head.headers;
}

void HttpRoundTrip::responseBodyReceived(std::string_view piece)
{
    if (m_response.body.size() + piece.size() > m_maxBytes) {
        fail("response-too-large", false);
        return;
    }
    m_response.body.append(piece);
    count();
}

void HttpRoundTrip::responseBytesHeld(std::size_t bytes)
{
    m_bytesInConnection = bytes;
    count();
}

void HttpRoundTrip::count()
{
    if (m_isResponseComplete || !m_callback)
        return;
    if (!m_held)
        m_held = RoundTripMemory::of(m_ioContext)->open([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->fail("response-too-large", false);
        });
    m_held->set(m_bytesInConnection + m_response.body.size());
}

bool HttpRoundTrip::responseEnded()
{
    m_isResponseComplete = true;
    m_timer.cancel();
    // The connection can become idle only after this callback returns, so the result is reported later.
    boost::asio::post(m_ioContext, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->report({ &self->m_response, "", true });
    });
    return false;
}

void HttpRoundTrip::connectionFailed(ClientFailure failure)
{
    const bool isBroken = failure != ClientFailure::NotConnected || m_connection->isRefused();
    fail(nameIn(clientFailureNames, failure), isBroken);
}

void HttpRoundTrip::fail(std::string_view problem, bool isBroken)
{
    if (m_isResponseComplete)
        return;
    m_timer.cancel();
    const bool isConnected = m_connection->hasSent();
    m_connection->close();
    // Assigning an empty text would keep the memory.
    std::string().swap(m_response.body);
    m_held.reset();
    report({ nullptr, problem, isConnected, isBroken, m_connection->wasResetOnConnect() });
}

void HttpRoundTrip::report(const HttpRoundTripResult& outcome)
{
    const auto self = shared_from_this();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(outcome);
}

} // namespace lupinknot::internal
