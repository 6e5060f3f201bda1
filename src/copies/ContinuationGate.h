// Decides when a stream may continue from a copy of a run whose engine has been told to stop it.
//
// Load pattern: an engine is silent, or a connection breaks, while the engine works on; it answers the request to stop
// the run, is busy with another request for the run, or answers nothing. A VM can stand still at any moment, so the
// continuation must not be sent before the engine has been told.
//
//     if (mayContinue({ StopProgress::Sent, EngineContact::Accepts, now - stopStartedAt }, limits)) ...
//
// Without input or output.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class StopProgress {
    Unsent, // No connection has been established yet.
    Sent, // The engine has been told and has not answered.
    Busy, // The engine has answered that another request for the run is under way.
    Decided, // The run has ended, or nothing more can be learned about it.
};

inline constexpr std::array<EnumName<StopProgress>, 4> stopProgressNames { {
    { StopProgress::Unsent, "unsent" },
    { StopProgress::Sent, "sent" },
    { StopProgress::Busy, "busy" },
    { StopProgress::Decided, "decided" },
} };

// What is known about the engine of a run when the run is ended.
enum class EngineContact {
    Answers, // It may answer the request to stop the run.
    Accepts, // It accepts connections and answers nothing.
    None, // It accepts no connections.
};

struct StopState {
    StopProgress progress { StopProgress::Unsent };
    EngineContact contact { EngineContact::Answers };
    // Time since the first request to stop the run.
    Milliseconds waited { 0 };
};

struct ContinuationLimits {
    // Longest wait for an engine that has not answered.
    Milliseconds answerWait { 0 };
    // Longest wait for an engine that is busy.
    Milliseconds busyWait { 0 };
};

bool mayContinue(const StopState&, const ContinuationLimits&);

} // namespace lupinknot::internal
