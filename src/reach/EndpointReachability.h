// Decides whether this VM reaches endpoints directly or is partitioned from all of them.
//
// Load pattern: one VM, most VMs or all VMs of a zone lose their links to all endpoints for seconds, while callers, the
// store and other VMs still reach them. New connections hang or are refused; open ones hang, are reset or work on. At
// other times, or at the same time, single endpoints and whole zones of endpoints fail, endpoints are silent for a
// second, and links lose packets. None of these is a partition of the VM.
//
//     if (reachability.noteConnection({ id, hasConnected }, endpointCount, now)) ... // The state has changed.
//     if (reachability.isCheckDue(now)) ...   // Connect to some endpoints of several zones, then:
//     reachability.noteCheck(hasConnected, now);
//
// Only outcomes of new direct connections count: an open connection may work on while new ones are refused. Without
// input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <map>
#include <string>

namespace lupinknot::internal {

enum class Reachability {
    Reachable, // Connections are direct.
    Suspected, // Several endpoints in a row cannot be reached; a check shows whether any can.
    Partitioned, // No endpoint that was checked can be reached; connections go through other VMs.
};

inline constexpr std::array<EnumName<Reachability>, 3> reachabilityNames { {
    { Reachability::Reachable, "reachable" },
    { Reachability::Suspected, "suspected" },
    { Reachability::Partitioned, "partitioned" },
} };

// The outcome of an attempt to connect to an endpoint directly.
struct DirectConnection {
    std::string endpointId;
    bool hasConnected { false };
};

class EndpointReachability {
public:
    // Failures count together within this time, unless a connection was established in between.
    static constexpr Milliseconds failureWindow { 3000 };
    // The number of endpoints that must fail, or all endpoints if there are fewer.
    static constexpr std::size_t minFailedEndpoints = 2;
    // Interval of the checks that show the end of a partition.
    static constexpr Milliseconds checkInterval { 250 };

    Reachability state() const { return m_state; }
    bool isPartitioned() const { return m_state == Reachability::Partitioned; }
    // Endpoints that failed since the last connection was established.
    std::size_t failedCount() const { return m_failedAt.size(); }
    // When the present state began.
    Milliseconds since() const { return m_since; }

    // Returns true if the state has changed.
    bool noteConnection(const DirectConnection&, std::size_t endpointCount, Milliseconds now);
    // True if endpoints should be checked now. The caller starts one check, which ends with noteCheck().
    bool isCheckDue(Milliseconds now) const;
    void noteCheckStarted(Milliseconds now);
    // Returns true if the state has changed.
    bool noteCheck(bool hasConnected, Milliseconds now);

private:
    bool enter(Reachability, Milliseconds now);

    Reachability m_state { Reachability::Reachable };
    Milliseconds m_since { 0 };
    // By endpoint id.
    std::map<std::string, Milliseconds> m_failedAt;
    Milliseconds m_nextCheckAt { 0 };
    bool m_isChecking { false };
};

} // namespace lupinknot::internal
