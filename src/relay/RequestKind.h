// Kinds of requests that a route accepts.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot::internal {

enum class RequestKind {
    Idempotent, // May run more than once.
    NonIdempotent, // Runs at most once.
    EventStream, // Answered by a series of events; may be resumed where its route allows it.
};

inline constexpr std::array<EnumName<RequestKind>, 3> requestKindNames { {
    { RequestKind::Idempotent, "idempotent" },
    { RequestKind::NonIdempotent, "non-idempotent" },
    { RequestKind::EventStream, "event-stream" },
} };

} // namespace lupinknot::internal
