// Simulation of runs, engines and the copies of the runs' memory while availability zones fail in turn; seeded.
//
//     const auto outcome = simulateCopies({ .upkeep = CopyUpkeep::Renewal, .knownAfter = Milliseconds { 200 } });
//     if (outcome.coveredShare() < 0.85) ...
//
// The simulation runs the decision code of lupinknot-entry (src/copies). Copies of 8,000 tokens take 0.1 to 0.25 s and
// queue on the links of both engines; a refresh takes 10 ms. VMs learn of a zone's failure after a fixed time, and in
// no other way; until then, they send copies to failed engines. In every second failure the engines become silent
// instead of refusing connections. The number of retries is not limited. A pure function of its arguments; thread-safe.
#pragma once

#include "copies/CopyRenewalSettings.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>

namespace lupinknot::internal {

// What happens to a run whose copy is lost.
enum class CopyUpkeep {
    None,
    StopAndCopy, // The run is copied, stopped and continued at another engine, as by relay/RunMover.
    Renewal, // A new copy is ordered while the run continues (copies/CopyRenewal).
};

inline constexpr std::array<EnumName<CopyUpkeep>, 3> copyUpkeepNames { {
    { CopyUpkeep::None, "none" },
    { CopyUpkeep::StopAndCopy, "stop and copy" },
    { CopyUpkeep::Renewal, "renewal" },
} };

struct CopyScenario {
    CopyUpkeep upkeep { CopyUpkeep::Renewal };
    // Time from a zone's failure until the VMs know of it.
    Milliseconds knownAfter { 200 };
    // Time between the failures of two zones.
    Milliseconds failureInterval { 3000 };
    // Share of the zone's engines that fail.
    double lostShare { 0.9 };
    // True when zones fail at random times in random order, with the same mean interval; otherwise in turn.
    bool isMemoryless { false };
    unsigned enginesPerZone { 40 };
    double streamsPerSecond { 39 };
    Milliseconds duration { 60'000 };
    CopyRenewalSettings settings {};
    std::uint64_t seed { 1 };
};

struct CopyOutcome {
    // Runs lost in mid-stream, and those of them that continued from a copy.
    std::uint64_t lost { 0 };
    std::uint64_t covered { 0 };
    // Continuations that an engine without the copy rejected.
    std::uint64_t rejected { 0 };
    std::uint64_t orders { 0 };
    std::uint64_t refreshes { 0 };
    // Runs that were stopped to be moved; each takes a retry.
    std::uint64_t moves { 0 };
    // Ordered copies at engines on average, each of which holds a slot.
    double heldCopies { 0 };

    double coveredShare() const { return lost == 0 ? 1 : static_cast<double>(covered) / static_cast<double>(lost); }
};

CopyOutcome simulateCopies(const CopyScenario&);

} // namespace lupinknot::internal
