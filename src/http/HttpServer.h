// An HTTP/1.1 server with limits on sizes, times and connections.
//
// It is built on Boost.Beast because cpprestsdk's listener limits neither the header size, nor the time in which a
// request must arrive, nor the number of connections (see docs/LISTENER.md).
//
//     HttpServer server(ioContext, { .address = "127.0.0.1", .port = 8080 }, handler);
//     auto started = server.start();                      // An error message if the address cannot be bound.
#pragma once

#include "http/ConnectionCounts.h"
#include "http/HttpServerSettings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lupinknot::internal {

class HttpExchange;
class RequestMemory;
struct HttpResponse;

// Thread-safe. The io_context may be run by several threads and must outlive the server and its exchanges.
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    // Servers that share the memory of requests have one limit for all of them. Without it, the limit is the settings'.
    HttpServer(boost::asio::io_context&, HttpServerSettings, Handler, std::shared_ptr<RequestMemory> = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Binds and listens. Returns an error message, or nullopt on success.
    std::optional<std::string> start();
    // The bound port, also if the settings let the system choose one (0).
    unsigned short port() const;
    // Stops accepting connections. Open ones complete their current request and are then closed.
    void stopAccepting();
    // Replaces the limits and timeouts for callers; the address and the port stay.
    void changeSettings(HttpServerSettings);
    // From now on each connection is closed after its next response. New connections are still accepted.
    void announceStop();
    // Closes the connections on which no request has started.
    void closeIdleConnections();
    // Resets all connections immediately, as if the process had crashed.
    void abortConnections();
    std::size_t connectionCount() const;
    ConnectionCounts connectionCounts() const;
    // Connections with a request whose response is not complete.
    std::size_t busyCount() const;

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace lupinknot::internal
