// Says whether a request waits for the news that a VM lacks just after its start.
//
// Load pattern: all processes of a fleet are killed at once and are back within half a second, while the balancer goes
// on sending callers. A VM knows its configuration some 40 ms after its start, in the slowest twentieth 70 ms, and with
// 3,000 endpoints 200 ms. A caller who is refused meanwhile comes back to a VM that starts as well, and has then used
// up its only retry.
//
//     const auto decision = decideStartup({ startedAt, hasConfiguration, hasEndpoints }, { arrivedAt, patience }, now);
//     if (decision.action == StartupAction::Wait) ...         // Until decision.until at the latest.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

// What a VM knows, and since when it runs.
struct StartupState {
    Milliseconds startedAt { 0 };
    bool hasConfiguration { false };
    bool hasEndpoints { false };
};

// A caller's request that has come in.
struct StartupRequest {
    Milliseconds arrivedAt { 0 };
    // How long its caller waits; nothing when it does not say.
    std::optional<Milliseconds> patience;
};

enum class StartupAction {
    Serve, // The VM knows what it needs, or what it can serve with.
    Wait, // The news is about to come.
    Refuse, // It is not: the VM cannot reach what it learns from.
};

struct StartupDecision {
    StartupAction action { StartupAction::Serve };
    // When a request that waits is to be decided on again at the latest.
    Milliseconds until { 0 };
};

// A VM that has been up so long without news most likely cannot reach the store: twice the longest start that was seen
// with 300 VMs and 3,000 endpoints, 200 ms.
inline constexpr Milliseconds longestStartup { 400 };
// A request waits no longer than this share of its caller's patience: what is left is enough for a try elsewhere.
inline constexpr double startupPatienceShare = 0.125;

StartupDecision decideStartup(const StartupState&, const StartupRequest&, Milliseconds now);

} // namespace lupinknot::internal
