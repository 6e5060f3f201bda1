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
    EndpointsInBackOff,
    RetryBudgetSpent,
    EndpointFailed,
    TimedOut,
    TimedOutUnsent,
    TooLittleTime,
    HeldInQuarantine,
    CrashedEndpoints,
    VersionUnknown,
    VersionGone,
    StoppedWhileRunning,
};

} // namespace lupinknot::internal
