// Why an answer is complete.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class FinishReason {
    Length, // The token limit was reached.
    Stop, // A stop string was generated, or the model ended the answer.
};

inline constexpr std::array<EnumName<FinishReason>, 2> finishReasonNames { {
    { FinishReason::Length, "length" },
    { FinishReason::Stop, "stop" },
} };

} // namespace lupinknot
