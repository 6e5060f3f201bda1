// A part of an answer, as one caller reads it.
#pragma once

#include "lupinknot/FinishReason.h"
#include "lupinknot/GenerationError.h"
#include "lupinknot/Token.h"
#include <optional>
#include <vector>

namespace lupinknot::internal {

struct GenerationSlice {
    std::vector<Token> tokens;
    // Set when the slice reaches the end of a complete answer.
    std::optional<FinishReason> finishReason;
    // Set when the slice reaches the end of a generation that was given up.
    std::optional<GenerationError> error;
};

} // namespace lupinknot::internal
