#include "relay/RelayRefusal.h"

#include "http/JsonError.h"
#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

namespace {

constexpr std::array<RefusalTraits, 19> refusalTable { {
    { RefusalReason::Malformed, "malformed", 400, true, "the request lacks a field or has one that cannot be read" },
    { RefusalReason::UnknownKey, "unknown-key", 401, true, "the key belongs to no organisation; check the key" },
    { RefusalReason::UnknownRoute, "unknown-route", 404, true, "no route has this host and path" },
    { RefusalReason::NoConfiguration, "no-configuration", 503, true, "this VM knows no configuration yet; try again" },
    { RefusalReason::Stopping, "stopping", 503, true, "this VM is being stopped; try again at another one" },
    { RefusalReason::NoEndpoint, "no-endpoint", 503, true, "no endpoint of the service can be reached; try again" },
    { RefusalReason::EndpointsBusy, "endpoints-busy", 503, true, "the service's endpoints are full; try again" },
    { RefusalReason::EndpointsLimited, "endpoints-limited", 503, true,
        "the service's endpoints take only so many requests a second now; try again" },
    { RefusalReason::EndpointsInBackOff, "endpoints-resting", 503, true,
        "the service's endpoints have asked for a pause; try again after it" },
    { RefusalReason::RetryBudgetSpent, "retry-budget-spent", 503, true, "too many requests are retried; try again" },
    { RefusalReason::EndpointFailed, "endpoint-failed", 502, false,
        "the endpoint failed and may have run the request" },
    { RefusalReason::TimedOut, "timed-out", 504, false, "no answer came in time; the request may have run" },
    { RefusalReason::TimedOutUnsent, "timed-out-unsent", 503, true, "no endpoint took the request in time; try again" },
    { RefusalReason::TooLittleTime, "too-little-time", 503, true,
        "no engine can make the answer in the time that is left; ask again with more" },
    { RefusalReason::HeldInQuarantine, "held-back", 503, true,
        "endpoints have ended each time they began this request; it is not sent to any for a while" },
    { RefusalReason::CrashedEndpoints, "ended-endpoints", 502, false,
        "endpoints have ended each time they began this request, and it is sent to no more of them" },
    { RefusalReason::VersionUnknown, "version-unknown", 503, true,
        "this VM does not know which software version began the stream; try again at another one" },
    { RefusalReason::VersionGone, "version-gone", 503, true,
        "the software version that began the stream has no endpoint any more; begin the stream again from its start" },
    { RefusalReason::StoppedWhileRunning, "stopped-while-running", 502, false,
        "this VM has been stopped while an endpoint worked on the request, which may have run" },
} };

} // namespace

const RefusalTraits& traitsOf(RefusalReason reason) { return refusalTable[static_cast<std::size_t>(reason)]; }

HttpResponse refusal(const RelayContext& context, RefusalReason reason, std::optional<Milliseconds> retryDelay)
{
    const auto& traits = traitsOf(reason);
    auto response = errorResponse({ traits.status, std::string(traits.name), std::string(traits.message), "",
        traits.isNotRun ? RunOutcome::NotRun : RunOutcome::Unknown, std::nullopt });
    if (traits.status == 503) {
        const auto field = context.protocol.encodeRetryAfter(retryDelay.value_or(context.settings.retryAfter));
        response.headers.add(field.name, field.value);
    }
    return response;
}

} // namespace lupinknot::internal
