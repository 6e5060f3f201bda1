// What a refusal says about whether the request ran.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class RunOutcome {
    NotRun, // Proved: no endpoint has begun the work.
    Unknown, // The work may have run, in part or whole.
};

inline constexpr std::array<EnumName<RunOutcome>, 2> runOutcomeNames { {
    { RunOutcome::NotRun, "not-run" },
    { RunOutcome::Unknown, "unknown" },
} };

} // namespace lupinknot
