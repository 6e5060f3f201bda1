// Why a generation was given up.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include "lupinknot/RunOutcome.h"
#include <string>

namespace lupinknot {

enum class GenerationErrorCode {
    NoEndpoint, // No endpoint could take the work in the time allowed.
    AttemptsExhausted, // Too many attempts failed.
    MayHaveRun, // The request must not be repeated and may have begun.
    DeadlineExceeded,
    Abandoned, // The caller has gone.
};

inline constexpr std::array<EnumName<GenerationErrorCode>, 5> generationErrorCodeNames { {
    { GenerationErrorCode::NoEndpoint, "no_endpoint" },
    { GenerationErrorCode::AttemptsExhausted, "attempts_exhausted" },
    { GenerationErrorCode::MayHaveRun, "may_have_run" },
    { GenerationErrorCode::DeadlineExceeded, "deadline_exceeded" },
    { GenerationErrorCode::Abandoned, "abandoned" },
} };

struct GenerationError {
    GenerationErrorCode code;
    RunOutcome outcome;
    // For people: what happened, and the last failure of an attempt.
    std::string message;
};

} // namespace lupinknot
