// The ways in which an attempt can end without a complete answer, and what each of them proves.
#pragma once

#include "lupinknot/EnumNames.h"

namespace lupinknot {

enum class FailureKind {
    ConnectionRefused, // No connection was established, so no byte of the request was sent.
    Overloaded, // The endpoint answered 429 or 503: it rejected the request before it started.
    ConnectionLost, // The connection broke after the request was sent.
    ErrorStatus, // The endpoint answered with another error status.
    EarlyEnd, // The stream ended cleanly but without its final event.
    MalformedEvent, // The stream contained something that is not a valid event.
    WrongPosition, // A token came at a position other than the next one.
    Silent, // Nothing has arrived for longer than the silence timeout.
    StreamGone, // The endpoint does not know the stream to which the attempt should attach.
    FirstTokenTimeout, // The endpoint is alive, but the first token of this stream did not arrive in time.
};

// One row of the table of what a failure proves.
struct FailureTraits {
    FailureKind kind;
    std::string_view name;
    // True when the failure proves that the endpoint did not begin the work.
    bool provesNotStarted;
    // True when the endpoint should receive no new work for a while.
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

// Returns the row of a kind. The table has one row for every kind, in the order of the enum.
constexpr const FailureTraits& traitsOf(FailureKind kind) { return failureTraitsTable[static_cast<std::size_t>(kind)]; }

} // namespace lupinknot
