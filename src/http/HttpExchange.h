// One request that a server has received, and the interface to respond to it.
#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

class HttpBodySource;

// Thread-safe. Exactly one of respond(), stream() and upgrade() must be called, once. Later calls are ignored, and so
// are all calls after the peer has disconnected.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const = 0;
    // Sends a complete response.
    virtual void respond(HttpResponse) = 0;
    // Sends the header, then the pieces of the source up to its last one.
    virtual void stream(HttpResponse head, std::shared_ptr<HttpBodySource>) = 0;
    // Receives the connection, and bytes that the peer sent after its request.
    using UpgradeCallback = std::function<void(boost::asio::ip::tcp::socket, std::string earlyBytes)>;
    // Accepts a CONNECT request: sends 200 and hands the connection over. The callback is not called when the peer has
    // disconnected.
    virtual void upgrade(UpgradeCallback) = 0;
    // Notifies the connection that the source may have data.
    virtual void wake() = 0;
    // Closes the connection in the middle of the response, so that the peer recognises it as incomplete.
    virtual void abort() = 0;
    // Sets a callback that runs once if the peer disconnects before the response is complete.
    virtual void onPeerDisconnected(std::function<void()>) = 0;
};

} // namespace lupinknot::internal
