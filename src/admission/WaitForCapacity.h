// Decides whether and how long a call that no endpoint has accepted waits for capacity, and after which delay a refused
// caller should retry.
//
// Load patterns:
// - After a restart of the fleet, or in a surge, the endpoints of a service without streams are full for one or two
//   seconds and reject calls. A VM of a large fleet sends less than one call a second and detects free capacity only by
//   trying.
// - An availability zone that is cut off has no endpoint of a service for about five seconds. In a replay, trying every
//   endpoint for 80 ms each and telling callers to retry after 250 ms loses more than 230 of 300 callers; waiting loses
//   fewer than 130.
//
// In both cases a caller has a single retry, so waiting is better than a refusal as long as the answer can arrive in
// time.
//
//     const auto decision = waitForCapacity({ arrivedAt, deadline, rounds }, medianCallTime, spread, now);
//     if (decision.waits) ...                                  // Try again after decision.pause.
//     else refuse(callerRetryDelay(CapacityObstacle::Full, timeLeft, spread));
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "admission/RequestRank.h"

namespace lupinknot::internal {

// Why no endpoint has accepted a call.
enum class CapacityObstacle {
    Full, // Endpoints rejected it, or the retry budget is spent.
    Unreachable, // No endpoint is known or none could be connected to.
};

// A call that has not run anywhere.
struct WaitingCall {
    Milliseconds arrivedAt { 0 };
    Milliseconds deadline { 0 };
    // Number of times that the call has waited so far.
    unsigned rounds { 0 };
    // Its rank, after ageing. Pauses of urgent requests are shorter.
    RequestRank rank {};
};

struct WaitDecision {
    bool waits { false };
    Milliseconds pause { 0 };
};

// Maximum share of its time that a call waits, so that a refused caller has time for one more try.
inline constexpr double maxWaitShare = 0.5;
// Bounds of the pause before the next try. The pause starts at the usual call time, in which each busy slot is freed
// once, and doubles. Each try costs one request to an endpoint, or 80 ms for a connection that fails.
inline constexpr Milliseconds minPause { 40 };
inline constexpr Milliseconds maxPause { 400 };
// Pauses vary randomly by this share in both directions, so that calls rejected together do not return together.
inline constexpr double pauseSpread = 0.25;

// `medianCallTime` is the usual duration of a call to the service, `spread` a random number from 0 to 1.
WaitDecision waitForCapacity(const WaitingCall&, Milliseconds medianCallTime, double spread, Milliseconds now);

// How long the call may still wait while leaving time for one more try by its caller.
Milliseconds timeToWait(const WaitingCall&, Milliseconds now);

// The same decision if the time until the first endpoint accepts requests again is known, because all are in back-off
// or rate limited. A call that cannot wait until then is refused at once. `spread` delays calls that wait for the end
// of the same back-off so that they do not arrive together; it is 0 for permits, which are spaced already.
WaitDecision waitForAvailability(
    const WaitingCall&, Milliseconds timeUntilAvailable, Milliseconds medianCallTime, double spread, Milliseconds now);

// Maximum retry delay as a share of the caller's remaining time; callers cut longer delays to this.
inline constexpr double maxRetryDelayShare = 1.0 / 3;
// Full endpoints have free capacity again after a few calls. Callers are spread from 0.5 to 1.5 times this delay.
inline constexpr Milliseconds retryDelayWhenFull { 250 };

// Retry delay for a caller that is refused because all endpoints are in back-off: the end of the first back-off plus a
// random share of retryDelayWhenFull.
Milliseconds retryDelayAfterBackOff(Milliseconds backOffTime, double spread, const RequestRank& = {});

// Retry delay for a refused caller. Endpoints remain unreachable for seconds, so the delay is then the longest that the
// caller can use. Callers of urgent ranks return earlier, and callers with a named rank are spread in any case.
Milliseconds callerRetryDelay(CapacityObstacle, Milliseconds timeLeft, double spread, const RequestRank& = {});

} // namespace lupinknot::internal
