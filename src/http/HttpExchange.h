// One request that a server has received, and the means to answer it.
#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include <functional>
#include <memory>

namespace lupinknot::internal {

class HttpBodySource;

// Thread-safe: every call may come from any thread. Exactly one of respond() and stream() is called, once; later calls
// are ignored, as are all calls after the peer has gone.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const = 0;
    // Sends a whole response.
    virtual void respond(HttpResponse) = 0;
    // Sends the head, then pieces of the source until its last one.
    virtual void stream(HttpResponse head, std::shared_ptr<HttpBodySource>) = 0;
    // Tells that the source may have something.
    virtual void wake() = 0;
    // Closes the connection in the middle of the response, so that the peer knows that it is not whole.
    virtual void abort() = 0;
    // Sets what to call, once, when the peer goes away before the response is complete.
    virtual void onPeerDisconnected(std::function<void()>) = 0;
};

} // namespace lupinknot::internal
