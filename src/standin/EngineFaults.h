// Faults that can be injected into a stand-in engine.
//
// The `--control` flag and `POST /control` set them from a JSON object; the comment of each field names its key.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>
#include <string>

namespace lupinknot::internal {

// Each fault `..._at` occurs once, in the next stream that reaches that number of tokens.
struct EngineFaults {
    std::optional<std::size_t> crashAt; // crash_at: reset all connections and lose all state.
    std::optional<std::size_t> endEarlyAt; // end_early_at: end the stream without its final event.
    std::optional<std::size_t> malformedAt; // malformed_at: send an event that is not JSON.
    std::optional<std::size_t> skipAt; // skip_at: omit one token.
    std::optional<std::size_t> pauseAt; // pause_at: freeze the engine for pause_ms.
    Milliseconds downTime { 1000 }; // down_ms: how long connections are refused after a crash.
    Milliseconds pauseTime { 2000 }; // pause_ms: how long a pause lasts.
    bool refusesWork { false }; // refuse: respond to new requests with 503.
    bool failsWork { false }; // fail: respond to new requests with 500.
    double slowFactor { 1 }; // slow: factor on the duration of steps.
};

} // namespace lupinknot::internal
