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
    EndpointsResting,
    RetryBudgetSpent,
    EndpointFailed,
    TimedOut,
    TimedOutUnsent,
    TooLittleTime,
    HeldBack,
    EndedEndpoints,
};

} // namespace lupinknot::internal
