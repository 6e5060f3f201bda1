// One outgoing HTTP call, for programs with several threads; made with ClientConnection.
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
// Each call uses its own connection: a request that is sent on a kept connection just as the endpoint closes it may or
// may not have run.
class HttpCall {
public:
    // The timeout is for the whole call.
    static std::shared_ptr<HttpCall> start(
        const SocketAddress&, const HttpRequest&, Milliseconds timeout, std::shared_ptr<HttpCallListener>);
    virtual ~HttpCall() = default;
    // Closes the connection. The listener receives the failure `Cancelled` unless the call has already ended.
    virtual void cancel() = 0;
};

// Sets the number of threads that all calls of the process share. Must be called before the first call starts.
void setHttpCallThreads(unsigned count);

} // namespace lupinknot::internal
