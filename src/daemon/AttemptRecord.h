// What became of one attempt, for operators.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FailureKind.h"
#include "lupinknot/Generation.h"
#include <optional>
#include <string>

namespace lupinknot::internal {

struct AttemptRecord {
    AttemptNumber number { 0 };
    std::string endpoint;
    // The attempt's first position.
    std::size_t position { 0 };
    std::optional<FailureKind> failure;
    // Once its first token has come after a loss: what the loss cost.
    std::optional<Milliseconds> resumeGap;
    std::optional<Milliseconds> resumeAfterDetection;
};

} // namespace lupinknot::internal
