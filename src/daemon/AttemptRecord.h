// The outcome of one attempt, as the operators' interface reports it.
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
    // Position of the attempt's first token in the answer.
    std::size_t position { 0 };
    std::optional<FailureKind> failure;
    // Set by the first token after a loss: the time since the last token before the loss, and since the loss was
    // detected.
    std::optional<Milliseconds> resumeGap;
    std::optional<Milliseconds> resumeAfterDetection;
};

} // namespace lupinknot::internal
