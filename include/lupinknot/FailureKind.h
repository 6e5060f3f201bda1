// The ways in which an attempt can end without a finished answer, and what each one proves.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class FailureKind {
    ConnectionRefused, // No connection came about, so no byte of the request was sent.
    Overloaded, // The endpoint answered 429 or 503: it turned the request away before starting it.
    ConnectionLost, // The connection broke after the request was sent.
    ErrorStatus, // The endpoint answered with another error status.
    EarlyEnd, // The stream ended cleanly but without its final event.
    MalformedEvent, // The stream carried something that is not an event.
    WrongPosition, // A token came at a position other than the next one.
    Silent, // Nothing has come for longer than the detector's patience.
    StreamGone, // The endpoint knows nothing of the stream that was to be attached to.
    FirstTokenTimeout, // The endpoint lives, but this stream's first token has not come in time.
};

// One row of the table of what a failure proves.
struct FailureTraits {
    FailureKind kind;
    std::string_view name;
    // True when the failure proves that the endpoint did not begin the work.
    bool provesNotStarted;
    // True when the endpoint should get no new work for a while.
    bool blamesEndpoint;
};

inline constexpr std::array<FailureTraits, 10> failureTraitsTable { {
    { FailureKind::ConnectionRefused, "connection-refused", true, true },
    { FailureKind::Overloaded, "overloaded", true, true },
    { FailureKind::ConnectionLost, "connection-lost", false, true },
    { FailureKind::ErrorStatus, "error-status", false, true },
    { FailureKind::EarlyEnd, "early-end", false, true },
    { FailureKind::MalformedEvent, "malformed-event", false, true },
    { FailureKind::WrongPosition, "wrong-position", false, true },
    { FailureKind::Silent, "silent", false, true },
    { FailureKind::StreamGone, "stream-gone", false, false },
    { FailureKind::FirstTokenTimeout, "first-token-timeout", false, false },
} };

// Returns the row of a kind. Every kind has one.
constexpr const FailureTraits& traitsOf(FailureKind kind) { return failureTraitsTable[static_cast<std::size_t>(kind)]; }

} // namespace lupinknot
