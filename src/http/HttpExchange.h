// One request that a server has received, and the interface to respond to it.
#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include <functional>
#include <memory>

namespace lupinknot::internal {

class HttpBodySource;

// Thread-safe. Exactly one of respond() and stream() must be called, once. Later calls are ignored, and so are all
// calls after the peer has disconnected.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const = 0;
    // Sends a complete response.
    virtual void respond(HttpResponse) = 0;
    // Sends the header, then the pieces of the source up to its last one.
    virtual void stream(HttpResponse head, std::shared_ptr<HttpBodySource>) = 0;
    // Notifies the connection that the source may have data.
    virtual void wake() = 0;
    // Closes the connection in the middle of the response, so that the peer recognises it as incomplete.
    virtual void abort() = 0;
    // Sets a callback that runs once if the peer disconnects before the response is complete.
    virtual void onPeerDisconnected(std::function<void()>) = 0;
};

} // namespace lupinknot::internal
