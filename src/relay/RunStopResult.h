// What became of a run that its engine was asked to stop.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class RunStopResult {
    Pending,
    Stopped, // The run worked until now.
    NotRunning, // The engine does not work on the request.
    Unreachable, // No connection to the engine could be made.
    Unanswered, // The engine has not said what became of the run.
};

inline constexpr std::array<EnumName<RunStopResult>, 5> runStopResultNames { {
    { RunStopResult::Pending, "pending" },
    { RunStopResult::Stopped, "stopped" },
    { RunStopResult::NotRunning, "not-running" },
    { RunStopResult::Unreachable, "unreachable" },
    { RunStopResult::Unanswered, "unanswered" },
} };

} // namespace lupinknot::internal
