// Why a generation was given up.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include "lupinknot/RunOutcome.h"
#include <string>

namespace lupinknot {

enum class GenerationErrorCode {
    NoEndpoint, // No endpoint could take the work within the time allowed.
    AttemptsExhausted, // Too many attempts failed.
    MayHaveRun, // The request must not be repeated and may have begun.
    DeadlineExceeded,
    Abandoned, // The caller is gone.
    NotProtected, // No other VM could record a request that must not be repeated.
    TakenOver, // Another VM runs the generation now.
};

inline constexpr std::array<EnumName<GenerationErrorCode>, 7> generationErrorCodeNames { {
    { GenerationErrorCode::NoEndpoint, "no_endpoint" },
    { GenerationErrorCode::AttemptsExhausted, "attempts_exhausted" },
    { GenerationErrorCode::MayHaveRun, "may_have_run" },
    { GenerationErrorCode::DeadlineExceeded, "deadline_exceeded" },
    { GenerationErrorCode::Abandoned, "abandoned" },
    { GenerationErrorCode::NotProtected, "not_protected" },
    { GenerationErrorCode::TakenOver, "taken_over" },
} };

struct GenerationError {
    GenerationErrorCode code;
    RunOutcome outcome;
    // For people: what went wrong, and the last failure of an attempt.
    std::string message;
};

} // namespace lupinknot
