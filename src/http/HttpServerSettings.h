// Limits of an HttpServer. The limits for callers can change while it runs (HttpServer::changeSettings).
#pragma once

#include "common/ByteSizes.h"
#include "http/DescriptorShares.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

struct HttpServerSettings {
    std::string address { "127.0.0.1" };
    std::int64_t port { 0 };
    std::int64_t maxConnections { 4096 };
    // Parts of the process's limit of descriptors.
    DescriptorShares descriptors {};
    std::int64_t maxHeaderBytes { 16 * kibibyte };
    std::int64_t maxBodyBytes { 4 * mebibyte };
    // Memory of all requests that are received or handled, unless the server shares it with others.
    std::int64_t maxRequestMemory { 64 * mebibyte };
    // Time in which a complete request header or body must arrive. It starts at the first byte; later bytes do not
    // extend it.
    Milliseconds headerTimeout { 10000 };
    Milliseconds bodyTimeout { 20000 };
    // Time that a connection may be idle between two requests.
    Milliseconds idleTimeout { 60000 };
    // Time in which the peer must accept one write.
    Milliseconds writeTimeout { 30000 };
};

// For addresses that callers do not use. They stay reachable when the address for callers has reached its share.
inline constexpr DescriptorShares operatorDescriptors { 0.125, 0.03125 };
inline constexpr DescriptorShares otherVmDescriptors { 0.125, 0.25 };

// Default limits with this address.
inline HttpServerSettings listenAt(const SocketAddress& address, DescriptorShares descriptors = {})
{
    HttpServerSettings settings;
    settings.address = address.host;
    settings.port = address.port;
    settings.descriptors = descriptors;
    return settings;
}

} // namespace lupinknot::internal
