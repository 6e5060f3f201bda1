// An operator's order to move a service's traffic to the runners of another version, the candidate. The runners of the
// present version stay beside those of the candidate until the order is decided.
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
    // The version that should take over.
    std::string candidate;
    // The time within which the order must be decided.
    Milliseconds duration { 0 };
    // Distinguishes orders for one service: a later order has a greater revision, or belongs to a later era of the
    // store that holds it. A new era of the store assigns the same revisions again.
    std::uint64_t revision { 0 };
    std::uint64_t era { 0 };

    HistoryPosition position() const { return { era, revision }; }
    // Compares the content only, not when it was written.
    bool hasSameContentAs(const RolloutOrder& other) const
    {
        return service == other.service && candidate == other.candidate && duration == other.duration;
    }
};

// The decision on an order. Once written, a decision never changes.
enum class RolloutDecision {
    Undecided,
    Completed, // Only the candidate serves; the present version's runners end at once.
    RolledBack, // Only the present version serves; the candidate's runners shut down.
};

inline constexpr std::array<EnumName<RolloutDecision>, 3> rolloutDecisionNames { {
    { RolloutDecision::Undecided, "undecided" },
    { RolloutDecision::Completed, "completed" },
    { RolloutDecision::RolledBack, "rolled-back" },
} };

} // namespace lupinknot::internal
