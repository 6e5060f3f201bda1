// Faults that a stand-in engine can be told to show.
//
// They are set by the program's switches and by `POST /control` with a JSON object; the keys are the names below.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>
#include <string>

namespace lupinknot::internal {

// The faults `..._at` strike the next stream that reaches that number of tokens, once.
struct EngineFaults {
    std::optional<std::size_t> crashAt; // crash_at: reset all connections, forget everything.
    std::optional<std::size_t> endEarlyAt; // end_early_at: end the stream without its final event.
    std::optional<std::size_t> malformedAt; // malformed_at: send something that is not JSON.
    std::optional<std::size_t> skipAt; // skip_at: leave out one token.
    std::optional<std::size_t> pauseAt; // pause_at: stand still for the time of pause_ms.
    Milliseconds downTime { 1000 }; // down_ms: how long connections are refused after a crash.
    Milliseconds pauseTime { 2000 }; // pause_ms
    bool refusesWork { false }; // refuse: answer new work with 503.
    bool failsWork { false }; // fail: answer new work with 500.
    double slowFactor { 1 }; // slow: steps take that many times as long.
};

} // namespace lupinknot::internal
