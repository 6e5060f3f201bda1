// A bounded HTTP/1.1 listener.
//
// It stands on Boost.Beast, the nearest kin of cpprestsdk's listener, because that one bounds neither the header, nor
// the time in which a request has to arrive, nor the number of connections (docs/LISTENER.md has the measurements).
//
//     HttpServer server(ioContext, { .address = "127.0.0.1", .port = 8080 }, handler);
//     auto started = server.start();                      // An error when the address cannot be bound.
#pragma once

#include "http/HttpServerSettings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lupinknot::internal {

class HttpExchange;
struct HttpResponse;

// Thread-safe. The io_context may be run by several threads and must outlive the server and its exchanges.
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    HttpServer(boost::asio::io_context&, HttpServerSettings, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Binds and listens. Returns what went wrong, or nothing.
    std::optional<std::string> start();
    // The port that was bound, also when the settings asked for any (0).
    unsigned short port() const;
    // Takes no more connections; open ones finish what they have begun and are closed after it.
    void stopAccepting();
    // Replaces the limits and times that bind callers; the address and the port stay.
    void changeSettings(HttpServerSettings);
    // From here on each answer is the last one on its connection; new connections are still taken.
    void announceStop();
    // Closes the connections on which no request has begun.
    void closeIdleConnections();
    // Closes every connection at once with a reset, as if the process had died.
    void abortConnections();
    std::size_t connectionCount() const;
    // Connections with a request whose response is not complete.
    std::size_t busyCount() const;

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace lupinknot::internal
