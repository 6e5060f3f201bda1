#include "relay/StreamLog.h"

#include "common/EventLog.h"
#include "relay/EarlierRunSearch.h"
#include "relay/EndpointCall.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayRequest.h"
#include "relay/RetryBudget.h"
#include "relay/RunMover.h"
#include "relay/RunRelocation.h"
#include "relay/RunSilence.h"
#include "relay/StreamResponse.h"
#include "relay/StreamRun.h"

namespace lupinknot::internal {

void logRunSent(
    const RelayRequest& request, const StreamRun& run, const StreamResponse& answer, bool isFirst, Milliseconds now)
{
    const auto& endpoint = *run.endpoint;
    LogEvent("stream.sent", isFirst ? LogImportance::Routine : LogImportance::Notable)
        .text("request", request.fields.requestId)
        .text("endpoint", endpoint.entry().id)
        .text("version", endpoint.entry().version)
        .text("zone", endpoint.entry().availabilityZone)
        .text("copy_to", run.copyHolder ? run.copyHolder->entry().id : "")
        .text("copy_version", run.copyHolder ? run.copyHolder->entry().version : "")
        .flag("from_copy", run.isFromCopy)
        .number("stop_wait_ms", run.stopWait.count())
        .number("retry_wait_ms", run.retryWait.count())
        .number("run", run.number)
        .number("after_event", static_cast<std::int64_t>(answer.lastEventId()))
        .number("in_flight", endpoint.inFlight())
        .flag("avoided", endpoint.isAvoided(now))
        .number("last_alive_ms", (now - endpoint.lastAliveAt()).count())
        .number("priority", run.priority ? static_cast<std::int64_t>(*run.priority) : -1)
        .number("config_version", static_cast<std::int64_t>(request.configurationVersion))
        .write();
}

void logFirstEvent(const RelayRequest& request, const StreamRun& run, Milliseconds now)
{
    LogEvent("stream.first-event", LogImportance::Routine)
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("version", run.endpoint->entry().version)
        .number("since_admitted_ms", (now - request.admittedAt).count())
        .number("since_sent_ms", (now - run.startedAt).count())
        .flag("returned", request.fields.lastEventId.has_value())
        .write();
}

void logReturned(const RelayRequest& request, const EarlierRun& run)
{
    LogEvent("stream.returned")
        .text("request", request.fields.requestId)
        .text("resumes", request.fields.resumedRequestId)
        .text("earlier_request", run.location ? run.location->requestId : "")
        .text("earlier_endpoint", run.location ? run.location->endpointId : "")
        .flag("is_run_known", run.location.has_value())
        .text("version", run.version.version.value_or(""))
        .text("version_source", nameIn(versionSourceNames, run.version.source))
        .write();
}

void logRunRejected(const RelayRequest& request, const StreamRun& run)
{
    LogEvent("stream.turned-away")
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .flag("from_copy", run.isFromCopy)
        .number("connection", static_cast<std::int64_t>(run.call->connectionNumber()))
        .number("status", run.head.status)
        .flag("says_not_run", run.fields.isNotRun)
        .number("retry_after_ms", run.fields.backOff.time.value_or(Milliseconds { -1 }).count())
        .flag("leaving", run.fields.isShuttingDown)
        .write();
}

void logRunSilent(const RelayRequest& request, const StreamRun& run, const StreamResponse& answer,
    const RunSilence& silence, Milliseconds now)
{
    LogEvent("stream.silent")
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("zone", run.endpoint->entry().availabilityZone)
        .text("reason", nameIn(silenceReasonNames, silence.reason))
        .flag("connected", silence.isConnected)
        .number("last_event", static_cast<std::int64_t>(answer.lastEventId()))
        .number("silent_ms", (now - run.lastActivity).count())
        .number("last_alive_ms", (now - run.endpoint->lastAliveAt()).count())
        .write();
}

void logSilenceEnded(const RelayRequest& request, const StreamRun& run, bool isSubstituted, Milliseconds now)
{
    LogEvent("stream.silence-ended")
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .flag("substituted", isSubstituted)
        .number("silent_ms", (now - run.lastActivity).count())
        .write();
}

void logRunFailed(
    const RelayRequest& request, const StreamRun& run, const StreamResponse& answer, FailureKind kind, Milliseconds now)
{
    LogEvent("stream.run-lost")
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("zone", run.endpoint->entry().availabilityZone)
        .text("failure", traitsOf(kind).name)
        .flag("sent", run.call->hasSent())
        .number("connection", static_cast<std::int64_t>(run.call->connectionNumber()))
        .number("run", run.number)
        .number("last_event", static_cast<std::int64_t>(answer.lastEventId()))
        .number("silent_ms", (now - run.lastActivity).count())
        .number("run_ms", (now - run.startedAt).count())
        .number("begun_ms", run.headerReceivedAt ? (now - *run.headerReceivedAt).count() : -1)
        .number("last_alive_ms", (now - run.endpoint->lastAliveAt()).count())
        .write();
}

void logSubstituteEnded(const RelayRequest& request, const StreamRun& run, Milliseconds now)
{
    LogEvent("stream.substitute-ended")
        .text("request", request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .flag("sent", run.call->hasSent())
        .flag("from_copy", run.isFromCopy)
        .number("connection", static_cast<std::int64_t>(run.call->connectionNumber()))
        .number("run_ms", (now - run.startedAt).count())
        .number("begun_ms", run.headerReceivedAt ? (now - *run.headerReceivedAt).count() : -1)
        .write();
}

void logNotContinued(const RelayRequest& request, std::string_view reason, bool ends, bool hasCopy)
{
    LogEvent("stream.not-sent-on")
        .text("request", request.fields.requestId)
        .text("reason", reason)
        .flag("ends", ends)
        .flag("has_copy", hasCopy)
        .number("rank", loggedRank(request.rank))
        .text("organisation", request.organisation)
        .write();
}

void logLackOfRetry(
    const RelayRequest& request, const StreamResponse& answer, const LackOfRetry& lack, Milliseconds now)
{
    constexpr int hundredths = 100;
    LogEvent("stream.lacks-retry")
        .text("request", request.fields.requestId)
        .text("purpose", nameIn(retryPurposeNames, lack.purpose))
        .number("allowed_hundredths", static_cast<std::int64_t>(hundredths * lack.account.allowed))
        .number("sent", static_cast<std::int64_t>(lack.account.sent))
        .number("lent", static_cast<std::int64_t>(lack.account.lent))
        .number("last_event", static_cast<std::int64_t>(answer.lastEventId()))
        .number("left_ms", (request.deadline - now).count())
        .flag("keeps_silent_run", lack.keepsSilentRun)
        .number("open_stops", static_cast<std::int64_t>(lack.openStops))
        .write();
}

void logWaitsForRetry(const RelayRequest& request, const StreamResponse& answer, Milliseconds forAtLeast,
    Milliseconds timeToFinish, Milliseconds now)
{
    LogEvent("stream.waits-for-retry")
        .text("request", request.fields.requestId)
        .number("last_event", static_cast<std::int64_t>(answer.lastEventId()))
        .number("for_ms", forAtLeast.count())
        .number("needs_ms", timeToFinish.count())
        .number("left_ms", (request.deadline - now).count())
        .number("rank", loggedRank(request.rank))
        .write();
}

void logLate(
    const RelayRequest& request, std::string_view reason, std::optional<Milliseconds> forecast, Milliseconds now)
{
    LogEvent("stream.late")
        .text("request", request.fields.requestId)
        .text("reason", reason)
        .number("rank", loggedRank(request.rank))
        .number("since_first_attempt_ms", (now - request.firstAttemptAt).count())
        .number("forecast_ms", forecast.value_or(Milliseconds { -1 }).count())
        .number("objective_ms", request.route->objective.count())
        .write();
}

void logRunResumed(const RelayRequest& request, const StreamRun& run, const std::optional<std::string>& beganVersion,
    std::optional<Milliseconds> lastEventAt, Milliseconds failedAt, Milliseconds now)
{
    LogEvent("stream.resumed")
        .text("request", request.fields.requestId)
        .text("resumes", request.fields.resumedRequestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("version", run.endpoint->entry().version)
        .text("began_version", beganVersion.value_or(""))
        .flag("from_copy", run.isFromCopy)
        .number("pause_ms", (now - lastEventAt.value_or(now)).count())
        .number("detection_ms", (failedAt - lastEventAt.value_or(failedAt)).count())
        .number("since_loss_ms", (now - failedAt).count())
        .write();
}

void logRunMoved(const RelayRequest& request, const RunMove& move, const StreamResponse& answer)
{
    LogEvent("stream.relocated")
        .text("request", request.fields.requestId)
        .text("result", nameIn(relocationResultNames, move.result))
        .text("endpoint", move.source->entry().id)
        .text("target", move.target->entry().id)
        .number("last_event", static_cast<std::int64_t>(answer.lastEventId()))
        .write();
}

void logStreamDone(const RelayRequest& request, const StreamResponse& answer, std::string_view outcome, unsigned status,
    unsigned attempts, Milliseconds took)
{
    LogEvent("stream.done", answer.isComplete() ? LogImportance::Routine : LogImportance::Notable)
        .text("request", request.fields.requestId)
        .text("outcome", outcome)
        .number("status", status)
        .number("events", static_cast<std::int64_t>(answer.length()))
        .number("sendings", attempts)
        .number("took_ms", took.count())
        .write();
}

} // namespace lupinknot::internal
