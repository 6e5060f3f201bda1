#include "http/HttpCall.h"

#include "common/ByteSizes.h"
#include "http/HttpCallListener.h"

#include <algorithm>
#include <array>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

namespace lupinknot::internal {

namespace {

using web::http::http_exception;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

// cpprestsdk's error message when all connection attempts fail. The error code alone does not distinguish this from a
// failed write, after which the peer may have received the request.
constexpr std::string_view connectFailureText = "Failed to connect to any resolved endpoint";

constexpr unsigned firstFinalStatus = 200;

bool isConnectFailure(const http_exception& error)
{
    return std::string_view(error.what()).find(connectFailureText) != std::string_view::npos;
}

HttpHeaders headersOf(const http_response& response)
{
    HttpHeaders headers;
    for (const auto& field : response.headers())
        headers.add(field.first, field.second);
    return headers;
}

web::http::http_request messageOf(const HttpRequest& request)
{
    web::http::http_request message(request.method);
    for (const auto& field : request.headers.fields())
        message.headers().add(field.name, field.value);
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        const auto type = request.headers.find("Content-Type").value_or("application/octet-stream");
        message.set_body(request.body, std::string(type));
    }
    message.set_request_uri(web::uri(request.target));
    return message;
}

class CpprestCall final : public HttpCall, public std::enable_shared_from_this<CpprestCall> {
public:
    CpprestCall(const SocketAddress& address, Milliseconds timeout, std::shared_ptr<HttpCallListener> listener)
        : m_client(web::uri("http://" + address.text()), configuration(timeout))
        , m_listener(std::move(listener))
    {
    }

    void send(const HttpRequest& request)
    {
        m_client.request(messageOf(request), m_cancellation.get_token())
            .then([self = shared_from_this()](const pplx::task<http_response>& task) {
                self->reportFailuresOf([&] { self->headerReceived(task.get()); });
            });
    }

    void cancel() override { m_cancellation.cancel(); }

private:
    static http_client_config configuration(Milliseconds timeout)
    {
        http_client_config config;
        config.set_timeout(timeout);
        return config;
    }

    void headerReceived(http_response response)
    {
        // cpprestsdk takes an interim response for the final one, and what follows for its body.
        if (response.status_code() < firstFinalStatus) {
            takeListener()->failed(HttpCallFailure::Lost, "the endpoint sent an interim response");
            m_cancellation.cancel();
            return;
        }
        m_response = std::move(response);
        m_body = m_response.body().streambuf();
        m_listener->headerArrived(m_response.status_code(), headersOf(m_response));
        readNext();
    }

    // Reading several bytes would wait until all of them are available. So this waits for the first byte only, and
    // firstByteAvailable() then reads what is available.
    void readNext()
    {
        m_body.getc().then([self = shared_from_this()](const pplx::task<int>& task) {
            self->reportFailuresOf([&] { self->firstByteAvailable(task.get()); });
        });
    }

    void firstByteAvailable(int byte)
    {
        if (byte == concurrency::streams::streambuf<std::uint8_t>::traits::eof()) {
            bodyEnded();
            return;
        }
        const auto size = std::min(m_body.in_avail(), m_piece.size());
        const auto taken = m_body.getn(m_piece.data(), size).get();
        m_listener->bodyArrived({ reinterpret_cast<const char*>(m_piece.data()), taken });
        readNext();
    }

    void bodyEnded()
    {
        // The buffer reaches its end both after a complete body and after some failures; this task distinguishes them.
        m_response.content_ready().then([self = shared_from_this()](const pplx::task<http_response>& task) {
            self->reportFailuresOf([&] {
                task.get();
                self->takeListener()->ended();
            });
        });
    }

    template <typename Action> void reportFailuresOf(Action action)
    {
        try {
            action();
        } catch (const http_exception& error) {
            takeListener()->failed(failureOf(error), error.what());
        } catch (const std::exception& error) {
            takeListener()->failed(isCancelled() ? HttpCallFailure::Cancelled : HttpCallFailure::Lost, error.what());
        }
    }

    HttpCallFailure failureOf(const http_exception& error) const
    {
        if (isCancelled())
            return HttpCallFailure::Cancelled;
        if (isConnectFailure(error))
            return HttpCallFailure::NotConnected;
        const bool isTimeout = error.error_code() == std::errc::timed_out;
        return isTimeout ? HttpCallFailure::TimedOut : HttpCallFailure::Lost;
    }

    // Gives up the listener when the call ends, because the listener may own the call.
    std::shared_ptr<HttpCallListener> takeListener() { return std::move(m_listener); }

    bool isCancelled() const { return m_cancellation.get_token().is_canceled(); }

    static constexpr std::size_t pieceSize = 16 * kibibyte;

    http_client m_client;
    pplx::cancellation_token_source m_cancellation;
    std::shared_ptr<HttpCallListener> m_listener;
    http_response m_response;
    concurrency::streams::streambuf<std::uint8_t> m_body;
    std::array<std::uint8_t, pieceSize> m_piece {};
};

} // namespace

std::shared_ptr<HttpCall> HttpCall::start(const SocketAddress& address, const HttpRequest& request,
    Milliseconds timeout, std::shared_ptr<HttpCallListener> listener)
{
    auto call = std::make_shared<CpprestCall>(address, timeout, std::move(listener));
    call->send(request);
    return call;
}

void setHttpCallThreads(unsigned count) { crossplat::threadpool::initialize_with_threads(count); }

} // namespace lupinknot::internal
