// How a connection is established, and what becomes of the attempts.
//
// ClientConnection asks for one hop after the other until an attempt succeeds, and reports the result of each.
// Used on one thread only. Owned by the connection.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>

namespace lupinknot::internal {

// One attempt to connect.
struct ConnectionHop {
    // Time in which the attempt must succeed.
    Milliseconds timeout { 1000 };
};

enum class HopResult {
    Connected,
    Refused, // The peer refused the connection, or the network reported it as unreachable.
    TimedOut, // Nothing came back in time.
    Abandoned, // The connection was closed before the attempt had a result.
};

inline constexpr std::array<EnumName<HopResult>, 4> hopResultNames { {
    { HopResult::Connected, "connected" },
    { HopResult::Refused, "refused" },
    { HopResult::TimedOut, "timed-out" },
    { HopResult::Abandoned, "abandoned" },
} };

class ConnectionPath {
public:
    virtual ~ConnectionPath() = default;
    // The next attempt, or nothing when there is none left.
    virtual std::optional<ConnectionHop> next() = 0;
    // Reports the result of the last attempt, which took this long.
    virtual void noteResult(HopResult, Milliseconds took) = 0;
};

} // namespace lupinknot::internal
