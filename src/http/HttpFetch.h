// A whole HTTP exchange that the calling thread waits for. For command-line tools and tests; a daemon never waits.
#pragma once

#include "http/HttpCallListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct HttpFetchResult {
    // Status 0 when the call failed.
    HttpResponse response;
    std::optional<HttpCallFailure> failure;
    std::string message;

    bool isOk() const { return !failure && response.status == 200; }
};

// Must not be called on a thread of the client's pool.
HttpFetchResult fetch(const SocketAddress&, const HttpRequest&, Milliseconds timeout);

// Reads "HOST:PORT"; nothing when it is something else.
std::optional<SocketAddress> parseSocketAddress(const std::string&);

} // namespace lupinknot::internal
