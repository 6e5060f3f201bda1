// Options of lupinknot-load.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

struct DaemonAddress {
    SocketAddress callers;
    SocketAddress operators;
};

struct LoadOptions {
    std::string scenario { "steady" };
    std::vector<DaemonAddress> daemons;
    std::vector<SocketAddress> engines;
    std::vector<SocketAddress> services;
    std::vector<SocketAddress> platforms;
    std::string model { "story" };
    std::size_t generations { 60 };
    std::size_t concurrency { 16 };
    std::size_t promptTokens { 200 };
    std::size_t maxTokens { 60 };
    // Interval between short calls to a plain service.
    Milliseconds quickInterval { 20 };
    std::uint64_t seed { 1 };
};

} // namespace lupinknot::internal
