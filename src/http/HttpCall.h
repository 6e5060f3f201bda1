// One outgoing HTTP call, by cpprestsdk's client.
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

// Thread-safe. The call keeps itself and its listener alive until its end.
//
// Each call has a connection of its own. cpprestsdk's client sends a request anew, without telling, when a pooled
// connection turns out to be closed; the endpoint may have run the request by then, so that a request which must not be
// repeated cannot be given to a pooled connection.
class HttpCall {
public:
    static std::shared_ptr<HttpCall> start(
        const SocketAddress&, const HttpRequest&, Milliseconds timeout, std::shared_ptr<HttpCallListener>);
    virtual ~HttpCall() = default;
    // Closes the connection. The listener hears of the failure `Cancelled`, unless the call was at its end.
    virtual void cancel() = 0;
};

// Sets the number of threads that all calls of the process share. Call it before the first call.
void setHttpCallThreads(unsigned count);

} // namespace lupinknot::internal
