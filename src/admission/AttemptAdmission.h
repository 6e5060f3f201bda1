// Decides whether a request may make another attempt. If it may not, or if no endpoint accepts the request, decides
// whether the request waits or is refused.
//
// Load patterns:
// - Endpoints fail, reject requests or stop responding, and every affected request tries another endpoint at once. Some
//   requests must not run twice, some crash the endpoints that run them, and all VMs share one retry budget.
// - No endpoint accepts a request: all are full, unreachable, in back-off (requested with Retry-After) or rate limited.
//   Requests with enough time left wait; the others are refused at once with a Retry-After.
//
//     const auto decision = decideAttempt(state);
//     if (decision != AttemptDecision::Allowed) refuse(refusalAfter(decision, state.possibleRuns));
//     ...
//     const auto wait = waitOrRefuse({ call, availability, medianCallTime, spread, reason }, now);
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

// State of a request before an attempt.
struct AttemptState {
    QuarantineStatus quarantineStatus { QuarantineStatus::Free };
    // Attempts that an endpoint may have run so far, and the maximum allowed.
    unsigned possibleRuns { 0 };
    unsigned maxRuns { 1 };
    // True if the request may run more than once.
    bool mayRunAgain { false };
};

enum class AttemptDecision {
    Allowed,
    Undecided, // To be decided again soon: recent losses under the request are not evaluated yet.
    Held, // The request is in quarantine because it crashes endpoints.
    RunsSpent, // No further run is allowed.
    RetriesSpent, // The retry budget is spent.
};

AttemptDecision decideAttempt(const AttemptState&);
// True if the limit of runs permits one more attempt; ignores the quarantine.
bool mayRunOnceMore(const AttemptState&);
// The reason to report when the next attempt is not made.
RefusalReason refusalAfter(AttemptDecision, unsigned possibleRuns);
// The purpose of a retry that follows an attempt with this result.
RetryPurpose retryPurposeAfter(RefusalReason lastReason);

// A request that no endpoint accepts at present and that has not run anywhere.
struct UnplacedRequest {
    WaitingCall call;
    // When the first endpoint accepts requests again, if all are rate limited or in back-off.
    std::optional<EndpointAvailability> availability;
    // Usual duration of a call to the service.
    Milliseconds medianCallTime { 0 };
    // Random value from 0 to 1 that differs between requests.
    double spread { 0 };
    // Why the last attempt failed.
    RefusalReason lastReason { RefusalReason::NoEndpoint };
};

struct UnplacedDecision {
    bool waits { false };
    // Time until the next try.
    Milliseconds pause { 0 };
    // What the request waits for, or why it is refused.
    RefusalReason reason { RefusalReason::NoEndpoint };
};

UnplacedDecision waitOrRefuse(const UnplacedRequest&, Milliseconds now);

// The same decision for a stream. A stream polls for an engine every `pollInterval` until `waitsUntil` and is refused
// earlier only if it has not run and no engine becomes available by then.
UnplacedDecision waitOrRefuseStream(const std::optional<EndpointAvailability>&, unsigned possibleRuns,
    Milliseconds waitsUntil, Milliseconds pollInterval, Milliseconds now);

// True for refusals because all endpoints are in back-off or rate limited.
bool isUnavailabilityRefusal(RefusalReason);

// Retry delay for a caller that is refused because no endpoint accepts requests before `availability`. After a
// back-off, callers are spread so that they do not return together.
Milliseconds retryDelayUntilAvailable(
    const EndpointAvailability&, double spread, Milliseconds now, const RequestRank& = {});

// Retry delay for a caller that is refused for `lastReason`.
Milliseconds retryDelayAfterRefusal(const UnplacedRequest&, Milliseconds now);

} // namespace lupinknot::internal
