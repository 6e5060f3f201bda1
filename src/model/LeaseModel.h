// Simulation of processes that elect the leader of a singleton duty through a store (LeaderLease).
//
// Load pattern: processes freeze, restart and lose contact with the store; calls to the store are slow, are applied
// late, or lose their answers; the store is restored from an older copy; clocks run at slightly different speeds. A
// leader acts whenever its lease is held.
//
//     const auto outcome = simulateLeases({ .seed = 26 });
//     if (!outcome.violation.empty()) ...         // Two leaders at a time, or a token used twice.
//
// A pure function of its arguments.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>
#include <string>

namespace lupinknot::internal {

// Defects that the checks have to detect.
enum class LeaseDefect {
    None,
    ClockIgnoresSuspension, // Time for which a process was frozen does not count.
    IgnoresEra, // The lease and its tokens survive a restore of the store.
    UnconditionalWrites, // The store does not check the expected version.
};

inline constexpr std::array<EnumName<LeaseDefect>, 4> leaseDefectNames { {
    { LeaseDefect::None, "none" },
    { LeaseDefect::ClockIgnoresSuspension, "clock-ignores-suspension" },
    { LeaseDefect::IgnoresEra, "ignores-era" },
    { LeaseDefect::UnconditionalWrites, "unconditional-writes" },
} };

struct LeaseScenario {
    std::uint64_t seed { 1 };
    int processCount { 3 };
    int seconds { 40 };
    LeaseDefect defect { LeaseDefect::None };
    // False: nothing fails.
    bool hasFaults { true };
};

struct LeaseOutcome {
    // The broken rule and when it was broken; empty if there is none.
    std::string violation;
    // Share of the time for which some process held the lease.
    double ledShare { 0 };
    // Number of leaders in a row, a process that leads twice counted twice.
    int leaders { 0 };
};

LeaseOutcome simulateLeases(const LeaseScenario&);

} // namespace lupinknot::internal
