// Why a request is refused or fails. relay/RelayRefusal maps each reason to a response.
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
