// Why a request is refused or fails. What each reason tells the caller is in relay/RelayRefusal.
#pragma once

namespace lupinknot::internal {

enum class RefusalReason {
    Malformed,
    UnknownKey,
    UnknownRoute,
    NoConfiguration,
    Stopping,
    NoEndpoint,
    EndpointsBusy,
    EndpointsLimited,
    EndpointsInBackOff,
    RetryBudgetSpent,
    EndpointFailed,
    TimedOut,
    TimedOutUnsent,
    TooLittleTime,
    HeldInQuarantine,
    CrashedEndpoints,
};

} // namespace lupinknot::internal
