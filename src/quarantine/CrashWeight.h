// Decides how far the end of an endpoint speaks against one request that it was running.
//
// Load pattern: a request ends each endpoint that begins it, 42 to 116 ms after the beginning, and is then sent to
// the next one. The endpoint's other requests are lost with it; most of them had run for seconds or were still waiting.
//
// A request counts as fully suspect when the endpoint had just begun it, as half suspect when it had worked on it for a
// while or when the service does not show what it has begun, and not at all when it had not begun it, cannot have begun
// it in so short a time, had made events of it for long, or was about to leave. Pure; no state.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include "lupinknot/FailureKind.h"

namespace lupinknot::internal {

// What the answer shows of the correlationWindow at which the endpoint began to run the request.
enum class RunStart {
    Producing, // Events had come.
    Begun, // The head of the answer had come.
    NotYet, // It had not, and heads of this service come before the first event.
    Hidden, // Heads of this service say nothing of it: they come with the first event, or long before it.
    Assumed, // A call with a whole answer: it begins as soon as the endpoint has a place.
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
    // From the first event, else from the head, else from the sending, to the last sign of the endpoint.
    Milliseconds workedFor { 0 };
    // The endpoint had said that it leaves.
    bool wasLeaving { false };
};

inline constexpr double fullSuspicion = 1;
inline constexpr double halfSuspicion = 0.5;

// From 0 to fullSuspicion.
double crashWeight(const UnfinishedRun&);

// True when a run that has made events for so long shows that the request does not end what begins it: much longer than
// any endpoint had worked on it that has ended under it.
bool provesHarmless(Milliseconds producedFor, Milliseconds longestWork);

} // namespace lupinknot::internal
