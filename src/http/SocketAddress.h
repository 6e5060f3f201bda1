// An IP address and a port.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct SocketAddress {
    std::string host { "127.0.0.1" };
    std::int64_t port { 0 };

    std::string text() const { return host + ":" + std::to_string(port); }
};

} // namespace lupinknot::internal
