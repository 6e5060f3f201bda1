// How a stand-in engine behaves when nothing is wrong with it.
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
    // Largest part of a step by which noise makes it longer or shorter.
    double jitter { 0.3 };
    // Chance of a step that is held up, and how long that lasts at most.
    double stallChance { 0.004 };
    Milliseconds longestStall { 250 };
    // Microseconds of prefill for a token that is not in the prefix cache. Prefills run one after the other.
    std::int64_t prefillMicroseconds { 50 };
    std::int64_t maxBatch { 64 };
    std::int64_t maxQueue { 256 };
    std::int64_t cacheTokens { 200000 };
    // How old a load report is.
    Milliseconds loadLag { 500 };
    std::uint64_t seed { 1 };
};

} // namespace lupinknot::internal
