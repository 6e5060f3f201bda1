// Limits of an HttpServer. Those that bind callers can change while it runs (HttpServer::changeSettings).
#pragma once

#include "common/ByteSizes.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

struct HttpServerSettings {
    std::string address { "127.0.0.1" };
    std::int64_t port { 0 };
    std::int64_t maxConnections { 4096 };
    std::int64_t maxHeaderBytes { 16 * kibibyte };
    std::int64_t maxBodyBytes { 4 * mebibyte };
    // Time for a whole request head or body to arrive, counted from its first byte and not renewed by each byte.
    Milliseconds headerTimeout { 10000 };
    Milliseconds bodyTimeout { 20000 };
    // Time that a connection may rest between two requests.
    Milliseconds idleTimeout { 60000 };
    // Time for one flush to be taken by the reader.
    Milliseconds writeTimeout { 30000 };
};

// The usual limits at an address.
inline HttpServerSettings listenAt(const SocketAddress& address)
{
    HttpServerSettings settings;
    settings.address = address.host;
    settings.port = address.port;
    return settings;
}

} // namespace lupinknot::internal
