#include "admission/AttemptAdmission.h"

#include "admission/RetryPurpose.h"

namespace lupinknot::internal {

namespace {

RefusalReason reasonOf(const EndpointOpening& opening)
{
    return opening.isAfterRest ? RefusalReason::EndpointsResting : RefusalReason::EndpointsLimited;
}

bool isFull(RefusalReason reason)
{
    return isForOpening(reason) || reason == RefusalReason::EndpointsBusy || reason == RefusalReason::RetryBudgetSpent;
}

} // namespace

bool mayRunOnceMore(const AttemptState& state)
{
    return state.possibleRuns < state.maxRuns && (state.possibleRuns == 0 || state.mayRunAgain);
}

AttemptVerdict judgeAttempt(const AttemptState& state)
{
    if (state.standing == Standing::Held)
        return AttemptVerdict::Held;
    if (state.standing == Standing::UnderJudgement)
        return AttemptVerdict::Undecided;
    return mayRunOnceMore(state) ? AttemptVerdict::Allowed : AttemptVerdict::RunsSpent;
}

RefusalReason refusalAfter(AttemptVerdict verdict, unsigned possibleRuns)
{
    if (verdict == AttemptVerdict::Held)
        return possibleRuns > 0 ? RefusalReason::EndedEndpoints : RefusalReason::HeldBack;
    if (verdict == AttemptVerdict::RetriesSpent && possibleRuns == 0)
        return RefusalReason::RetryBudgetSpent;
    return RefusalReason::EndpointFailed;
}

RetryPurpose purposeAfter(RefusalReason lastReason)
{
    return isFull(lastReason) ? RetryPurpose::FullService : RetryPurpose::Rescue;
}

UnplacedDecision waitOrRefuse(const UnplacedRequest& request, Milliseconds now)
{
    const auto& opening = request.opening;
    if (!opening) {
        const auto wait = waitForPlace(request.call, request.usualCallTime, request.spread, now);
        return { wait.waits, wait.pause, request.lastReason };
    }
    const auto spread = opening->isAfterRest ? request.spread : 0;
    const auto wait = waitForOpening(request.call, opening->at - now, request.usualCallTime, spread, now);
    return { wait.waits, wait.pause, reasonOf(*opening) };
}

UnplacedDecision waitOrRefuseStream(const std::optional<EndpointOpening>& opening, unsigned possibleRuns,
    Milliseconds waitsUntil, Milliseconds pollInterval, Milliseconds now)
{
    if (opening && possibleRuns == 0 && opening->at > waitsUntil)
        return { false, Milliseconds { 0 }, reasonOf(*opening) };
    const auto reason = possibleRuns > 0 ? RefusalReason::EndpointFailed : RefusalReason::NoEndpoint;
    return { now < waitsUntil, pollInterval, reason };
}

bool isForOpening(RefusalReason reason)
{
    return reason == RefusalReason::EndpointsLimited || reason == RefusalReason::EndpointsResting;
}

Milliseconds comeBackAtOpening(const EndpointOpening& opening, double spread, Milliseconds now)
{
    const auto timeUntilAvailable = opening.at - now;
    return opening.isAfterRest ? retryDelayAfterBackOff(timeUntilAvailable, spread) : timeUntilAvailable;
}

Milliseconds comeBackAfter(const UnplacedRequest& request, Milliseconds now)
{
    const auto reason = request.lastReason;
    if (request.opening && isForOpening(reason))
        return comeBackAtOpening(*request.opening, request.spread, now);
    const auto obstacle = reason == RefusalReason::NoEndpoint ? CapacityObstacle::Unreachable : CapacityObstacle::Full;
    return callerRetryDelay(obstacle, request.call.deadline - now, request.spread);
}

} // namespace lupinknot::internal
