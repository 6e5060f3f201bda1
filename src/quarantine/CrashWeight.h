// Decides how strongly the crash of an endpoint counts as evidence against one of the requests in progress there.
//
// Load pattern: a request crashes each endpoint that begins it, 42 to 116 ms after the beginning, and is then sent to
// the next endpoint. The endpoint's other requests are lost with it; most of them had run for seconds or were still
// waiting.
//
// A request is fully suspect if the endpoint had just begun it. It is half suspect if the endpoint had worked on it for
// a while, or if the service does not show which requests it has begun. It is not suspect if the endpoint had not begun
// it, cannot have begun it in so short a time, had produced events of it for long, or was shutting down. Pure; no
// state.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include "lupinknot/FailureKind.h"

namespace lupinknot::internal {

// What the response shows about the time at which the endpoint began to run the request.
enum class RunStart {
    Producing, // Events had arrived.
    Begun, // The response header had arrived.
    NotYet, // The header had not arrived, and this service sends it before the first event.
    Hidden, // The header does not show it: this service sends it with the first event, or long before the run begins.
    Assumed, // A call with a complete response, which begins as soon as the endpoint has capacity.
};

inline constexpr std::array<EnumName<RunStart>, 5> runStartNames { {
    { RunStart::Producing, "producing" },
    { RunStart::Begun, "begun" },
    { RunStart::NotYet, "not-yet" },
    { RunStart::Hidden, "hidden" },
    { RunStart::Assumed, "assumed" },
} };

// A run that its endpoint did not finish.
struct UnfinishedRun {
    FailureKind failure { FailureKind::ConnectionLost };
    RunStart beginning { RunStart::Hidden };
    // Time until the last sign that the endpoint was alive, from the first event, or else from the header, or else from
    // when the request was sent.
    Milliseconds workedFor { 0 };
    // The endpoint had announced its shutdown.
    bool wasShuttingDown { false };
    // The connection was made by another VM, whose failure looks like a crash of the endpoint.
    bool wasThroughVm { false };
};

inline constexpr double fullSuspicion = 1;
inline constexpr double halfSuspicion = 0.5;

// Returns a value from 0 to fullSuspicion.
double crashWeight(const UnfinishedRun&);

// True if a run that has produced events for `producedFor` shows that the request does not crash endpoints: it lasted
// much longer than any run of the request that was lost.
bool provesHarmless(Milliseconds producedFor, Milliseconds longestWork);

} // namespace lupinknot::internal
