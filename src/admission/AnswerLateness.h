// Decides whether a streamed answer is certain to be late when a run of it is sent. Late answers yield engine time to
// those that can still be in time (admission/RequestRank).
//
// Load pattern: for some seconds more prompts arrive than the engines can read, and zones of engines fail. First come
// first served then makes nearly all answers late; answers that are late anyway must not delay the others.
//
//     const auto lateness = latenessOf(state, now);
//     if (lateness != Lateness::InTime) ...                   // Send the run with the priority of late answers.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>

namespace lupinknot::internal {

enum class Lateness {
    InTime, // Nothing shows that the answer is late.
    ObjectivePassed, // No first event, and the objective has passed since the caller's first attempt.
    PausePassed, // In mid-stream, and the longest pause has passed since the last event.
    WithoutCopy, // In mid-stream, and the run has to repeat the prefill, which takes longer than the longest pause.
    ByForecast, // The first event is expected after the objective.
};

inline constexpr std::array<EnumName<Lateness>, 5> latenessNames { {
    { Lateness::InTime, "in-time" },
    { Lateness::ObjectivePassed, "objective-passed" },
    { Lateness::PausePassed, "pause-passed" },
    { Lateness::WithoutCopy, "without-copy" },
    { Lateness::ByForecast, "by-forecast" },
} };

struct StreamState {
    Milliseconds firstAttemptAt { 0 };
    Milliseconds objective { 0 };
    Milliseconds longestPause { 0 };
    // True if the caller has received events, in this attempt or an earlier one.
    bool isMidStream { false };
    // When this VM received the last event; empty if it has received none.
    std::optional<Milliseconds> lastEventAt;
    // True if the engine has the prompt's KV cache: as a copy, or from an earlier run.
    bool isPromptCached { false };
    // Expected time until the first event; empty if no engine has reported its load.
    std::optional<Milliseconds> firstEventForecast;
};

Lateness latenessOf(const StreamState&, Milliseconds now);

// True if the forecast shows that the service lacks room: it exceeds half of the objective.
bool lacksRoom(const StreamState&);

} // namespace lupinknot::internal
