// One outgoing HTTP call, made with cpprestsdk's client.
//
//     auto call = HttpCall::start({ "127.0.0.1", 8000 }, request, timeout, listener);
//     call->cancel();
#pragma once

#include "http/HttpRequest.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <memory>

namespace lupinknot::internal {

class HttpCallListener;

// Thread-safe. The call keeps itself and its listener alive until it ends.
//
// Each call uses its own connection. cpprestsdk's client silently resends a request when a pooled connection turns out
// to be closed, although the endpoint may already have run it. A request that must not be repeated therefore cannot use
// a pooled connection.
class HttpCall {
public:
    static std::shared_ptr<HttpCall> start(
        const SocketAddress&, const HttpRequest&, Milliseconds timeout, std::shared_ptr<HttpCallListener>);
    virtual ~HttpCall() = default;
    // Closes the connection. The listener receives the failure `Cancelled` unless the call has already ended.
    virtual void cancel() = 0;
};

// Sets the number of threads that all calls of the process share. Must be called before the first call starts.
void setHttpCallThreads(unsigned count);

} // namespace lupinknot::internal
