// A part of an answer, as read by one caller.
#pragma once

#include "lupinknot/FinishReason.h"
#include "lupinknot/GenerationError.h"
#include "lupinknot/Token.h"
#include <optional>
#include <vector>

namespace lupinknot::internal {

struct GenerationSlice {
    std::vector<Token> tokens;
    // Set when no token follows the slice and the answer is complete.
    std::optional<FinishReason> finishReason;
    // Set when no token follows the slice and the generation was given up.
    std::optional<GenerationError> error;
};

} // namespace lupinknot::internal
