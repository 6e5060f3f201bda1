#include "admission/AttemptAdmission.h"

#include "admission/RetryPurpose.h"

namespace lupinknot::internal {

namespace {

RefusalReason reasonOf(const EndpointAvailability& availability)
{
    return availability.isAfterBackOff ? RefusalReason::EndpointsInBackOff : RefusalReason::EndpointsLimited;
}

bool isFull(RefusalReason reason)
{
    return isUnavailabilityRefusal(reason) || reason == RefusalReason::EndpointsBusy
        || reason == RefusalReason::RetryBudgetSpent;
}

} // namespace

bool mayRunOnceMore(const AttemptState& state)
{
    return state.possibleRuns < state.maxRuns && (state.possibleRuns == 0 || state.mayRunAgain);
}

AttemptDecision decideAttempt(const AttemptState& state)
{
    if (state.quarantineStatus == QuarantineStatus::Held)
        return AttemptDecision::Held;
    if (state.quarantineStatus == QuarantineStatus::Pending)
        return AttemptDecision::Undecided;
    return mayRunOnceMore(state) ? AttemptDecision::Allowed : AttemptDecision::RunsSpent;
}

RefusalReason refusalAfter(AttemptDecision decision, unsigned possibleRuns)
{
    if (decision == AttemptDecision::Held)
        return possibleRuns > 0 ? RefusalReason::CrashedEndpoints : RefusalReason::HeldInQuarantine;
    if (decision == AttemptDecision::RetriesSpent && possibleRuns == 0)
        return RefusalReason::RetryBudgetSpent;
    return RefusalReason::EndpointFailed;
}

RetryPurpose retryPurposeAfter(RefusalReason lastReason)
{
    return isFull(lastReason) ? RetryPurpose::AfterRejection : RetryPurpose::Failover;
}

UnplacedDecision waitOrRefuse(const UnplacedRequest& request, Milliseconds now)
{
    const auto& availability = request.availability;
    if (!availability) {
        const auto wait = waitForCapacity(request.call, request.medianCallTime, request.spread, now);
        return { wait.waits, wait.pause, request.lastReason };
    }
    const auto spread = availability->isAfterBackOff ? request.spread : 0;
    const auto wait = waitForAvailability(request.call, availability->at - now, request.medianCallTime, spread, now);
    return { wait.waits, wait.pause, reasonOf(*availability) };
}

UnplacedDecision waitOrRefuseStream(const std::optional<EndpointAvailability>& availability, unsigned possibleRuns,
    Milliseconds waitsUntil, Milliseconds pollInterval, Milliseconds now)
{
    if (availability && possibleRuns == 0 && availability->at > waitsUntil)
        return { false, Milliseconds { 0 }, reasonOf(*availability) };
    const auto reason = possibleRuns > 0 ? RefusalReason::EndpointFailed : RefusalReason::NoEndpoint;
    return { now < waitsUntil, pollInterval, reason };
}

bool isUnavailabilityRefusal(RefusalReason reason)
{
    return reason == RefusalReason::EndpointsLimited || reason == RefusalReason::EndpointsInBackOff;
}

Milliseconds retryDelayUntilAvailable(
    const EndpointAvailability& availability, double spread, Milliseconds now, const RequestRank& rank)
{
    const auto timeUntilAvailable = availability.at - now;
    return availability.isAfterBackOff ? retryDelayAfterBackOff(timeUntilAvailable, spread, rank) : timeUntilAvailable;
}

Milliseconds retryDelayAfterRefusal(const UnplacedRequest& request, Milliseconds now)
{
    const auto reason = request.lastReason;
    if (request.availability && isUnavailabilityRefusal(reason))
        return retryDelayUntilAvailable(*request.availability, request.spread, now, request.call.rank);
    const auto obstacle = reason == RefusalReason::NoEndpoint ? CapacityObstacle::Unreachable : CapacityObstacle::Full;
    return callerRetryDelay(obstacle, request.call.deadline - now, request.spread, request.call.rank);
}

} // namespace lupinknot::internal
