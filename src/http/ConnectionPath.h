// How one connection to an endpoint is established: directly, or through another VM.
//
// ClientConnection asks for one hop after the other until an attempt succeeds, and reports the result of each.
// Used on the relay's thread only. Owned by the connection.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>

namespace lupinknot::internal {

// One attempt to connect.
struct ConnectionHop {
    // The VM that is asked to connect to the endpoint (HTTP CONNECT); empty: a direct connection.
    std::optional<SocketAddress> vm;
    // Time in which the attempt must succeed.
    Milliseconds timeout { 1000 };
};

enum class HopResult {
    Connected,
    Refused, // The peer refused the connection, or the network reported it as unreachable.
    TimedOut, // Nothing came back in time.
    EndpointUnreachable, // The VM does not reach the endpoint either.
    VmUnavailable, // The VM does not connect to endpoints for others at present, or not to this one.
    Abandoned, // The connection was closed before the attempt had a result.
};

inline constexpr std::array<EnumName<HopResult>, 6> hopResultNames { {
    { HopResult::Connected, "connected" },
    { HopResult::Refused, "refused" },
    { HopResult::TimedOut, "timed-out" },
    { HopResult::EndpointUnreachable, "endpoint-unreachable" },
    { HopResult::VmUnavailable, "vm-unavailable" },
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
