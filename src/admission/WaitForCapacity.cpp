#include "admission/WaitForCapacity.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Beyond this many doublings every pause is the longest one.
constexpr unsigned mostDoublings = 10;

Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * factor) };
}

} // namespace

WaitDecision waitForCapacity(const WaitingCall& call, Milliseconds medianCallTime, double spread, Milliseconds now)
{
    const auto first = std::clamp(medianCallTime, shortestPause, longestPause);
    const auto doubled = std::min(first * (1 << std::min(call.rounds, mostDoublings)), longestPause);
    const auto pause = scaled(doubled, 1 - pauseSpread + 2 * pauseSpread * spread);
    const bool endsInTime = now + pause + medianCallTime <= call.deadline;
    return { pause <= timeToWait(call, now) && endsInTime, pause };
}

Milliseconds timeToWait(const WaitingCall& call, Milliseconds now)
{
    const auto latest = call.arrivedAt + scaled(call.deadline - call.arrivedAt, waitingShare);
    return std::max(latest - now, Milliseconds { 0 });
}

WaitDecision waitForAvailability(
    const WaitingCall& call, Milliseconds opensIn, Milliseconds medianCallTime, double spread, Milliseconds now)
{
    const auto pause = std::max(opensIn, shortestPause) + scaled(comeBackWhenFull, spread);
    const bool endsInTime = now + pause + medianCallTime <= call.deadline;
    return { pause <= timeToWait(call, now) && endsInTime, pause };
}

Milliseconds comeBackAfterRest(Milliseconds restsFor, double spread)
{
    return restsFor + scaled(comeBackWhenFull, spread);
}

Milliseconds comeBackIn(PlaceObstacle obstacle, Milliseconds timeLeft, double spread)
{
    const auto most = std::max(scaled(timeLeft, comeBackShare), Milliseconds { 0 });
    if (obstacle == PlaceObstacle::Unreachable)
        return most;
    return std::min(scaled(comeBackWhenFull, 0.5 + spread), most);
}

} // namespace lupinknot::internal
