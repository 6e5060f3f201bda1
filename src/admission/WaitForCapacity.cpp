#include "admission/WaitForCapacity.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Keeps the shift in range; after this many doublings every pause is the longest one.
constexpr unsigned maxDoublings = 10;

Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * factor) };
}

} // namespace

WaitDecision waitForCapacity(const WaitingCall& call, Milliseconds medianCallTime, double spread, Milliseconds now)
{
    const auto first = std::clamp(medianCallTime, minPause, maxPause);
    const auto doubled = std::min(first * (1 << std::min(call.rounds, maxDoublings)), maxPause);
    const auto pause = scaled(doubled, delayFactor(call.rank) * (1 - pauseSpread + 2 * pauseSpread * spread));
    const bool endsInTime = now + pause + medianCallTime <= call.deadline;
    return { pause <= timeToWait(call, now) && endsInTime, pause };
}

Milliseconds timeToWait(const WaitingCall& call, Milliseconds now)
{
    const auto latest = call.arrivedAt + scaled(call.deadline - call.arrivedAt, maxWaitShare);
    return std::max(latest - now, Milliseconds { 0 });
}

WaitDecision waitForAvailability(const WaitingCall& call, Milliseconds timeUntilAvailable, Milliseconds medianCallTime,
    double spread, Milliseconds now)
{
    const auto pause
        = std::max(timeUntilAvailable, minPause) + scaled(retryDelayWhenFull, spread * delayFactor(call.rank));
    const bool endsInTime = now + pause + medianCallTime <= call.deadline;
    return { pause <= timeToWait(call, now) && endsInTime, pause };
}

Milliseconds retryDelayAfterBackOff(Milliseconds backOffTime, double spread, const RequestRank& rank)
{
    return backOffTime + scaled(retryDelayWhenFull, spread * delayFactor(rank));
}

Milliseconds callerRetryDelay(CapacityObstacle obstacle, Milliseconds timeLeft, double spread, const RequestRank& rank)
{
    const auto most = std::max(scaled(timeLeft, maxRetryDelayShare), Milliseconds { 0 });
    if (obstacle == CapacityObstacle::Unreachable)
        return std::min(rankedDelay(rank, most, spread), most);
    return std::min(scaled(retryDelayWhenFull, delayFactor(rank) * (0.5 + spread)), most);
}

} // namespace lupinknot::internal
