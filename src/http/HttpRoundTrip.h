// One request on a client connection, with a timeout for the complete response.
//
//     auto roundTrip = HttpRoundTrip::ask(ioContext, connection, request, timeout, [](const auto& outcome) {
//         if (outcome.answer) ...
//     });
//
// The callback is called at most once, and never after this object is destroyed. After a response the connection may be
// idle and carry the next request; in every other case it is closed.
// Not thread-safe: used on the thread that runs the io_context. Owned by its user.
#pragma once

#include "admission/AnswerMemory.h"
#include "common/ByteSizes.h"
#include "http/ClientConnection.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

struct HttpRoundTripResult {
    // Null if no complete response arrived in time.
    const HttpResponse* answer { nullptr };
    // Why there is no response, for logs.
    std::string_view problem;
    // True if a connection was established: the peer's host is up, even if nothing answers.
    bool isConnected { false };
    // True if the connection was refused or broke: the peer's process has ended, or the connection was reset.
    bool isBroken { false };
    // True if the connection was reset before it was established.
    bool wasResetOnConnect { false };
};

class HttpRoundTrip final : public ClientConnectionListener, public std::enable_shared_from_this<HttpRoundTrip> {
public:
    using Callback = std::function<void(const HttpRoundTripResult&)>;

    // Largest body of a response; a larger one fails the call.
    static constexpr std::size_t defaultMaxBytes = mebibyte;
    // The same for tables of the store and lists of other VMs.
    static constexpr std::size_t tableMaxBytes = 16 * mebibyte;

    static std::shared_ptr<HttpRoundTrip> ask(boost::asio::io_context&, std::shared_ptr<ClientConnection>,
        const HttpRequest&, Milliseconds timeout, Callback, std::size_t maxBytes = defaultMaxBytes);
    ~HttpRoundTrip() override;
    HttpRoundTrip(const HttpRoundTrip&) = delete;
    HttpRoundTrip& operator=(const HttpRoundTrip&) = delete;

    // True once bytes of the request may have left this process.
    bool hasSent() const { return m_connection->hasSent(); }

    void responseHeaderReceived(const HttpResponse&) override;
    void responseBodyReceived(std::string_view) override;
    void responseBytesHeld(std::size_t) override;
    bool responseEnded() override;
    void connectionFailed(ClientFailure) override;

private:
    HttpRoundTrip(boost::asio::io_context&, std::shared_ptr<ClientConnection>, Callback, std::size_t maxBytes);
    // Counts the response's bytes against the memory for the responses of all round trips (RoundTripMemory).
    void count();
    void fail(std::string_view problem, bool isBroken);
    void report(const HttpRoundTripResult&);

    boost::asio::io_context& m_ioContext;
    const std::shared_ptr<ClientConnection> m_connection;
    const std::size_t m_maxBytes;
    Callback m_callback;
    HttpResponse m_response;
    // Bytes of the response that the connection holds.
    std::size_t m_bytesInConnection { 0 };
    std::unique_ptr<AnswerMemory::Holding> m_held;
    boost::asio::steady_timer m_timer;
    bool m_isResponseComplete { false };
};

} // namespace lupinknot::internal
