// Decides whether a request waits for configuration and endpoints that the VM has not received yet after its start.
//
// Load pattern: all processes of a fleet are killed at once and restart within half a second, while the load balancer
// keeps sending requests. A VM has its configuration about 40 ms after its start, 70 ms at the 95th percentile, and 200
// ms with 3,000 endpoints. A caller that is refused meanwhile spends its only retry on another VM that is starting too.
//
//     const auto decision = decideStartup(state, { arrivedAt, callerTimeout }, now);
//     if (decision.action == StartupAction::Wait) ...         // Until decision.until at the latest.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

// What the VM has received, and when it started.
struct StartupState {
    Milliseconds startedAt { 0 };
    bool hasConfiguration { false };
    bool hasEndpoints { false };
};

// A request that has arrived.
struct StartupRequest {
    Milliseconds arrivedAt { 0 };
    // How long the caller waits for an answer; empty if unknown.
    std::optional<Milliseconds> callerTimeout;
};

enum class StartupAction {
    Serve, // The VM has both, or the configuration is known and the wait for endpoints is over.
    Wait, // The configuration or the endpoints are expected soon.
    Refuse, // The configuration or the endpoints are overdue: the VM probably cannot reach the store.
};

struct StartupDecision {
    StartupAction action { StartupAction::Serve };
    // Latest time to decide again on a waiting request.
    Milliseconds until { 0 };
};

// A VM without configuration or endpoints for this long probably cannot reach the store: twice the longest startup with
// 300 VMs and 3,000 endpoints, 200 ms.
inline constexpr Milliseconds maxStartupTime { 400 };
// Maximum share of the caller's timeout spent waiting, so that enough remains for a retry elsewhere.
inline constexpr double maxStartupWaitShare = 0.125;

StartupDecision decideStartup(const StartupState&, const StartupRequest&, Milliseconds now);

} // namespace lupinknot::internal
