// What a server has done about its connections since it started.
#pragma once

#include <cstdint>

namespace lupinknot::internal {

struct ConnectionCounts {
    // Connections that were refused because all others were busy.
    std::uint64_t refused { 0 };
    // Connections that were closed, or whose incomplete request was refused, because others needed their descriptors.
    std::uint64_t displaced { 0 };
    // Times at which no connection could be accepted because the process or the system had no descriptor or memory.
    std::uint64_t notAccepted { 0 };

    bool operator==(const ConnectionCounts&) const = default;
};

} // namespace lupinknot::internal
