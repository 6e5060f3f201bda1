// Decides on the next attempt of a request: whether it may be made, and what follows where it may not or where no
// endpoint takes it.
//
// Load patterns:
// - Endpoints fail, reject or fall silent, and each request wants to go on elsewhere at once. A request that must not
//   run twice may not, one that ends endpoints must not, and retries of all VMs share one budget.
// - No endpoint takes a request now: all are full, out of reach, at rest or under a rate limit. Those whose time allows
//   wait, the others are refused at once and told when to come back.
//
//     const auto verdict = decideAttempt(state);
//     if (verdict != AttemptDecision::Allowed) refuse(refusalAfter(verdict, state.possibleRuns));
//     ...
//     const auto wait = waitOrRefuse({ call, availability, medianCallTime, spread, mayWait, reason }, now);
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "admission/RefusalReason.h"
#include "admission/WaitForCapacity.h"
#include "endpoint/EndpointAvailability.h"
#include "lupinknot/Clock.h"
#include "quarantine/QuarantineStatus.h"
#include <optional>

namespace lupinknot::internal {

enum class RetryPurpose;

// What is known of a request in front of an attempt.
struct AttemptState {
    QuarantineStatus quarantineStatus { QuarantineStatus::Free };
    // Attempts that an endpoint may have run, and the most that there may be.
    unsigned possibleRuns { 0 };
    unsigned mostRuns { 1 };
    // True when it may run more than once.
    bool mayRunAgain { false };
};

enum class AttemptDecision {
    Allowed,
    Undecided, // Ask again soon: endpoints that ended under the request are being judged.
    Held, // It ends endpoints.
    RunsSpent, // It may have run as often as it may.
    RetriesSpent, // The budget has no retry left for it.
};

AttemptDecision decideAttempt(const AttemptState&);
// True when one more attempt may run, whatever else stands against it.
bool mayRunOnceMore(const AttemptState&);
// Why a request ends whose next attempt is not made.
RefusalReason refusalAfter(AttemptDecision, unsigned possibleRuns);
// What a retry is for that follows an attempt which ended so.
RetryPurpose retryPurposeAfter(RefusalReason lastReason);

// A request that no endpoint takes now and that has run nowhere.
struct UnplacedRequest {
    WaitingCall call;
    // Where all endpoints are limited or at rest, when the first takes requests again.
    std::optional<EndpointAvailability> availability;
    // What an answer of the service takes.
    Milliseconds medianCallTime { 0 };
    // From 0 to 1, different for each request.
    double spread { 0 };
    // Why the last attempt came to nothing.
    RefusalReason lastReason { RefusalReason::NoEndpoint };
};

struct UnplacedDecision {
    bool waits { false };
    // Until the next try.
    Milliseconds pause { 0 };
    // What it waits for, or why it is refused.
    RefusalReason reason { RefusalReason::NoEndpoint };
};

UnplacedDecision waitOrRefuse(const UnplacedRequest&, Milliseconds now);

// The same for a stream, which looks for an engine all the time until the instant and is refused earlier only if none
// can be had by then.
UnplacedDecision waitOrRefuseStream(const std::optional<EndpointAvailability>&, unsigned possibleRuns,
    Milliseconds waitsUntil, Milliseconds lookInterval, Milliseconds now);

// True where a request is refused because all endpoints rest or are limited.
bool isUnavailabilityRefusal(RefusalReason);

// When a caller should come back that is refused because no endpoint takes requests before the availability. Callers
// are spread behind the end of a rest.
Milliseconds retryDelayUntilAvailable(const EndpointAvailability&, double spread, Milliseconds now);

// When a caller should come back that is refused for the reason.
Milliseconds retryDelayAfterRefusal(const UnplacedRequest&, Milliseconds now);

} // namespace lupinknot::internal
