// What an error reports about whether the request has run.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class RunOutcome {
    NotRun, // Proven: no endpoint has begun the work.
    Unknown, // The work may have run, partly or completely.
};

inline constexpr std::array<EnumName<RunOutcome>, 2> runOutcomeNames { {
    { RunOutcome::NotRun, "not-run" },
    { RunOutcome::Unknown, "unknown" },
} };

} // namespace lupinknot
