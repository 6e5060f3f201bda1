// Settings of a stand-in engine that has no injected faults.
#pragma once

#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

struct EngineStandInSettings {
    std::string name { "engine" };
    std::string address { "127.0.0.1" };
    std::int64_t port { 0 };
    std::string model { "story" };
    // Time between two tokens of a stream, before noise.
    Milliseconds step { 20 };
    // Largest share of the step time by which noise lengthens or shortens a step.
    double jitter { 0.3 };
    // Probability that a step stalls, and the longest stall.
    double stallChance { 0.004 };
    Milliseconds longestStall { 250 };
    // Prefill time in microseconds of a token that is not in the prefix cache. Prefills run one after the other.
    std::int64_t prefillMicroseconds { 50 };
    std::int64_t maxBatch { 64 };
    std::int64_t maxQueue { 256 };
    std::int64_t cacheTokens { 200000 };
    // Age of the load samples that a load report uses.
    Milliseconds loadLag { 500 };
    std::uint64_t seed { 1 };
};

} // namespace lupinknot::internal
