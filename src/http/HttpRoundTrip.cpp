#include "http/HttpRoundTrip.h"

#include <boost/asio/post.hpp>

namespace lupinknot::internal {

std::shared_ptr<HttpRoundTrip> HttpRoundTrip::ask(boost::asio::io_context& ioContext,
    std::shared_ptr<ClientConnection> connection, const HttpRequest& request, Milliseconds limit, Callback callback)
{
    std::shared_ptr<HttpRoundTrip> question(new HttpRoundTrip(ioContext, std::move(connection), std::move(callback)));
    question->m_connection->send(request, question->weak_from_this());
    question->m_timer.expires_after(limit);
    question->m_timer.async_wait([weak = question->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->fail("no-answer");
    });
    return question;
}

HttpRoundTrip::HttpRoundTrip(
    boost::asio::io_context& ioContext, std::shared_ptr<ClientConnection> connection, Callback callback)
    : m_ioContext(ioContext)
    , m_connection(std::move(connection))
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
    m_answer.status = head.status;
    m_answer.headers = head.headers;
}

void HttpRoundTrip::responseBodyReceived(std::string_view piece) { m_answer.body.append(piece); }

bool HttpRoundTrip::responseEnded()
{
    m_isAnswered = true;
    m_timer.cancel();
    // The connection becomes idle, if it does, once this callback has returned.
    boost::asio::post(m_ioContext, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->settle({ &self->m_answer, "" });
    });
    return false;
}

void HttpRoundTrip::connectionFailed(ClientFailure failure) { fail(nameIn(clientFailureNames, failure)); }

void HttpRoundTrip::fail(std::string_view problem)
{
    if (m_isAnswered)
        return;
    m_timer.cancel();
    m_connection->close();
    settle({ nullptr, problem });
}

void HttpRoundTrip::settle(const HttpRoundTripResult& outcome)
{
    const auto self = shared_from_this();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(outcome);
}

} // namespace lupinknot::internal
