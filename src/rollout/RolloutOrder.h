// An operator's order to move a service's traffic to the runners of another version. The runners of the present version
// stay beside those of the new one, the candidate, until it is decided.
#pragma once

#include "common/HistoryPosition.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct RolloutOrder {
    std::string service;
    // The version that is to take over.
    std::string candidate;
    // The time within which it is to be decided.
    Milliseconds duration { 0 };
    // Distinguishes orders for one service: later ones have greater revisions, or are of a later era of the store that
    // holds them, which gives revisions out again.
    std::uint64_t revision { 0 };
    std::uint64_t era { 0 };

    HistoryPosition position() const { return { era, revision }; }
    // The same content, whenever it was written.
    bool asksSameAs(const RolloutOrder& other) const
    {
        return service == other.service && candidate == other.candidate && duration == other.duration;
    }
};

// What is decided of an order. Written once, a decision never changes.
enum class RolloutDecision {
    Undecided,
    Completed, // The candidate serves alone; the present version's runners end at once.
    RolledBack, // The present version serves alone; the candidate's runners leave.
};

inline constexpr std::array<EnumName<RolloutDecision>, 3> rolloutDecisionNames { {
    { RolloutDecision::Undecided, "undecided" },
    { RolloutDecision::Completed, "completed" },
    { RolloutDecision::RolledBack, "rolled-back" },
} };

} // namespace lupinknot::internal
