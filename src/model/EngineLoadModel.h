// Discrete-event simulation of the engines of one service and of the streams that are sent to them; seeded.
//
//     const auto outcome = simulateEngineLoad({ .selection = EngineSelection::EnginePace, .streamsPerSecond = 39, .seed
//     = 7 }); if (outcome.inTimeShare() > 0.9) ...
//
// Engines read prompts in steps of 200 tokens, one prompt at a time, between the tokens of the runs that they generate.
// They differ in speed, are at times slower for some hundred milliseconds, and fail together with their zone. Demand
// rises and falls in each zone with another phase. The engine of each stream is chosen by the code of lupinknot-entry
// (Placement, EngineForecast, EnginePaces, EventGaps, ServicePace); the choices of a zone share one view of the
// engines. There are no VMs and no network: the age of the engines' reports is a parameter, and paces are shared at
// once.
//
// A pure function of its arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>
#include <vector>

namespace lupinknot::internal {

// How the engine of a stream is chosen.
enum class EngineSelection {
    ServicePace, // By forecast with the pace of the service.
    EnginePace, // By forecast with the pace of each engine.
    TwoChoices, // The better of two random engines by forecast with the pace of each engine.
};

inline constexpr std::array<EnumName<EngineSelection>, 3> engineSelectionNames { {
    { EngineSelection::ServicePace, "pace of the service" },
    { EngineSelection::EnginePace, "pace of each engine" },
    { EngineSelection::TwoChoices, "two choices" },
} };

struct EngineLoadScenario {
    EngineSelection selection { EngineSelection::EnginePace };
    bool probesOtherZones { true };
    std::size_t probeCount { 4 };
    Milliseconds reportAge { 200 };
    double slowdownShare { 0.4 };

    std::size_t engineCount { 120 };
    // Time of the engines' work as a multiple of the usual one; used by turns.
    std::vector<double> speeds { 0.7, 0.7, 1.7 };
    // Engines that are 2.5 times slower for 300 to 700 ms, per second and engine.
    double slowPhasesPerSecond { 0.05 };
    // All zones together.
    double streamsPerSecond { 32 };
    // Demand of a zone varies by this share within the period.
    double swing { 0.55 };
    Milliseconds swingPeriod { 11000 };
    // True if only the first zone's demand varies.
    bool swingsInOneZone { false };
    // Most engines of one zone fail together at intervals of 3 to 7 s, zone after zone, and are back 1.2 s later.
    bool hasZoneFailures { false };
    // Runs lost after their first event that continue from a copy; the others read their prompt again.
    double continuedShare { 0.85 };
    // Engines answer no probes from this time on; 0 for never.
    Milliseconds reportsStopAt { 0 };
    // Engines change their speeds at this time, each to that of the next one; 0 for never.
    Milliseconds speedsChangeAt { 0 };

    std::uint32_t promptTokens { 8000 };
    std::uint32_t answerEvents { 140 };
    Milliseconds objective { 4500 };
    Milliseconds longestPause { 700 };
    Milliseconds length { 60000 };
    // Streams that begin earlier are not counted: paces are not known yet.
    Milliseconds countsFrom { 15000 };
    std::uint64_t seed { 1 };
};

struct EngineLoadOutcome {
    std::uint64_t streams { 0 };
    std::uint64_t inTime { 0 };
    // Streams that were complete but not in time.
    std::uint64_t late { 0 };
    // First choices of an engine at the highest of the speeds.
    std::uint64_t sentToSlowEngines { 0 };
    // From the arrival to the first event.
    Milliseconds meanFirstEvent { 0 };
    Milliseconds slowestTenthFirstEvent { 0 };
    // At the end, the mean share by which the first zone's estimate of an engine's pace is wrong.
    double meanPaceError { 0 };

    double inTimeShare() const { return streams ? static_cast<double>(inTime) / static_cast<double>(streams) : 0; }
};

EngineLoadOutcome simulateEngineLoad(const EngineLoadScenario&);

} // namespace lupinknot::internal
