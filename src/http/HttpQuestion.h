// One request on a client connection, with a timeout for the complete response.
//
//     auto roundTrip = HttpQuestion::ask(ioContext, connection, request, timeout, [](const HttpOutcome& outcome) {
//         if (outcome.answer) ...
//     });
//
// The callback is called at most once, and never after this object is destroyed. After a response the connection may be
// idle and carry the next request; in every other case it is closed.
// Not thread-safe: used on the thread that runs the io_context. Owned by its user.
#pragma once

#include "http/ClientConnection.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

struct HttpOutcome {
    // Null if no complete response arrived in time.
    const HttpResponse* answer { nullptr };
    // Why there is no response, for logs.
    std::string_view problem;
};

class HttpQuestion final : public ClientConnectionListener, public std::enable_shared_from_this<HttpQuestion> {
public:
    using Callback = std::function<void(const HttpOutcome&)>;

    static std::shared_ptr<HttpQuestion> ask(boost::asio::io_context&, std::shared_ptr<ClientConnection>,
        const HttpRequest&, Milliseconds timeout, Callback);
    ~HttpQuestion() override;
    HttpQuestion(const HttpQuestion&) = delete;
    HttpQuestion& operator=(const HttpQuestion&) = delete;

    void answerHead(const HttpResponse&) override;
    void answerBody(std::string_view) override;
    bool answerEnd() override;
    void connectionFailed(ClientFailure) override;

private:
    HttpQuestion(boost::asio::io_context&, std::shared_ptr<ClientConnection>, Callback);
    void fail(std::string_view problem);
    void report(const HttpOutcome&);

    boost::asio::io_context& m_ioContext;
    const std::shared_ptr<ClientConnection> m_connection;
    Callback m_callback;
    HttpResponse m_response;
    boost::asio::steady_timer m_timer;
    bool m_isResponseComplete { false };
};

} // namespace lupinknot::internal
