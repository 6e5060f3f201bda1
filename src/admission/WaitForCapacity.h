// Says whether a call that no endpoint has taken waits for a place, how long, and when a refused caller comes back.
//
// Load patterns:
// - After a restart of the fleet, or in a surge, the endpoints of a plain service are full for one or two seconds and
//   turn calls away. A VM of a large fleet has less than one call a second and learns of a free place only by trying.
// - A zone that is cut off has no endpoint of a service for some five seconds. To try every endpoint for 80 ms each and
//   to have the caller back 250 ms later loses over 230 of 300 callers in a replay of such a cut; waiting, under 130.
//
// In both a caller has one retry, and waiting is worth more than a refusal as long as the answer can come in time.
//
//     const auto decision = waitForCapacity({ arrivedAt, deadline, rounds }, medianCallTime, spread, now);
//     if (decision.waits) ...                                  // Try again after decision.pause.
//     else refuse(comeBackIn(PlaceObstacle::Full, timeLeft, usual, spread));
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

// Why no endpoint has taken a call.
enum class PlaceObstacle {
    Full, // Endpoints turned it away, or retries are spent.
    Unreachable, // None is known or no connection came about.
};

// A call that has not run anywhere.
struct WaitingCall {
    Milliseconds arrivedAt { 0 };
    Milliseconds deadline { 0 };
    // How often it has waited.
    unsigned rounds { 0 };
};

struct WaitDecision {
    bool waits { false };
    Milliseconds pause { 0 };
};

// The longest share of its time that a call waits: a caller who is refused then has time for one more try.
inline constexpr double waitingShare = 0.5;
// Bounds of the pause before the next try; it doubles from the usual time of a call, in which each place comes free
// once. Each try costs an arrival at an endpoint, or 80 ms for a connection that does not come about.
inline constexpr Milliseconds shortestPause { 40 };
inline constexpr Milliseconds longestPause { 400 };
// Pauses are spread by this share to either side, so that calls that were turned away together do not return together.
inline constexpr double pauseSpread = 0.25;

// `medianCallTime` is what an answer of the service takes, `spread` a random number from 0 to 1.
WaitDecision waitForCapacity(const WaitingCall&, Milliseconds medianCallTime, double spread, Milliseconds now);

// How long a call may go on waiting for a place: it keeps time for one more try of its caller.
Milliseconds timeToWait(const WaitingCall&, Milliseconds now);

// The same decision where it is known when the first endpoint takes requests again, because all have asked for a pause
// or take only so many a second. A call that cannot wait until then is refused at once. The spread keeps calls that
// wait for the end of one rest from arriving together; permits are spread already (0).
WaitDecision waitForAvailability(
    const WaitingCall&, Milliseconds opensIn, Milliseconds medianCallTime, double spread, Milliseconds now);

// The most of its time that a caller spends before it comes back; a longer wait is cut to this by callers.
inline constexpr double comeBackShare = 1.0 / 3;
// Full endpoints have places again after a few calls: callers are spread from half to one and a half of this.
inline constexpr Milliseconds comeBackWhenFull { 250 };

// When a caller should come back that is refused because all endpoints rest: after the first rest, spread as above.
Milliseconds comeBackAfterRest(Milliseconds restsFor, double spread);

// When a caller that is refused should come back. What cannot be reached stays so for seconds, so that the latest time
// that the caller can use is the best one.
Milliseconds comeBackIn(PlaceObstacle, Milliseconds timeLeft, double spread);

} // namespace lupinknot::internal
