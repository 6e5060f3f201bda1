// The result of offering a token or a finish event to a generation.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class AppendResult {
    Appended,
    NotCurrentAttempt, // A later attempt has replaced this one, which must be cancelled.
    WrongPosition, // The current attempt skipped or repeated a position, so it cannot be trusted.
    AlreadyEnded, // The answer is complete.
};

inline constexpr std::array<EnumName<AppendResult>, 4> appendResultNames { {
    { AppendResult::Appended, "appended" },
    { AppendResult::NotCurrentAttempt, "not-current-attempt" },
    { AppendResult::WrongPosition, "wrong-position" },
    { AppendResult::AlreadyEnded, "already-ended" },
} };

} // namespace lupinknot
