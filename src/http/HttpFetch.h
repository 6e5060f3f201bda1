// A blocking HTTP call, for command-line tools and tests. Daemons must not block and do not use it.
#pragma once

#include "http/HttpCallListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct HttpFetchResult {
    // Its status is 0 if the call failed.
    HttpResponse response;
    std::optional<HttpCallFailure> failure;
    std::string message;

    bool isOk() const { return !failure && response.status == 200; }
};

// Blocks until the call ends. Must not be called on a thread of the client's pool.
HttpFetchResult fetch(const SocketAddress&, const HttpRequest&, Milliseconds timeout);

// Parses "HOST:PORT". Returns nullopt if the text has another form.
std::optional<SocketAddress> parseSocketAddress(const std::string&);

} // namespace lupinknot::internal
