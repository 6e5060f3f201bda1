#include "relay/BufferedCall.h"

#include "admission/AttemptAdmission.h"
#include "common/EventLog.h"
#include "relay/AnswerHolding.h"
#include "relay/EndpointDirectory.h"
#include "relay/PermitWait.h"
#include "relay/Placement.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

constexpr unsigned firstServerError = 500;
// A call that takes this many times as long as usual makes its kept connection doubtful.
constexpr int usualCallTimes = 2;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

} // namespace

void BufferedCall::serve(RelayContext& context, RelayRequest request)
{
    const std::shared_ptr<BufferedCall> call(new BufferedCall(context, std::move(request)));
    call->begin();
}

BufferedCall::BufferedCall(RelayContext& context, RelayRequest request)
    : m_context(context)
    , m_openCalls(context.openCalls)
    , m_request(std::move(request))
    , m_versions(m_context, m_request)
    , m_crashTracker(m_context, m_request)
    , m_deadlineTimer(context.ioContext)
    , m_hedgeTimer(context.ioContext)
    , m_waitTimer(context.ioContext)
{
}

BufferedCall::~BufferedCall() { m_openCalls->remove(*this); }

void BufferedCall::begin()
{
    m_openCalls->add(*this);
    m_crashTracker.begin([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->m_isFinished)
            self->refuseAsHeld();
    });
    m_deadlineTimer.expires_after(m_request.deadline - m_context.now());
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->timedOut();
    });
    m_request.exchange->onPeerDisconnected([self = shared_from_this()] {
        if (self->m_isFinished)
            return;
        LogEvent("request.caller-gone").text("request", self->m_request.fields.requestId).write();
        self->finish();
    });
    if (!waitsForEvaluation(RefusalReason::NoEndpoint) && !sendNext(anyEndpoint(), false))
        waitForCapacity(RefusalReason::NoEndpoint);
}

PlacementRequest BufferedCall::anyEndpoint()
{
    return { .service = m_request.service, .excluded = m_triedEndpoints, .version = m_versions.next() };
}

PlacementRequest BufferedCall::healthyEndpoint()
{
    auto placementRequest = anyEndpoint();
    placementRequest.mustBeHealthy = true;
    return placementRequest;
}

bool BufferedCall::sendNext(const PlacementRequest& placementRequest, bool tookRetry)
{
    const auto now = m_context.now();
    const auto endpoint = m_context.placement.choose(placementRequest, now);
    if (!endpoint || m_request.deadline <= now)
        return false;
    if (refuseBeforeEnd(tookRetry))
        return true;
    if (endpoint->isLimited())
        requestPermit(endpoint, tookRetry);
    else
        sendTo(endpoint, tookRetry);
    return true;
}

void BufferedCall::requestPermit(const std::shared_ptr<RelayEndpoint>& endpoint, bool tookRetry)
{
    const auto now = m_context.now();
    auto other = healthyEndpoint();
    other.limited = LimitedEndpoints::Excluded;
    // If another endpoint can serve the call at once, it does not wait for its send slot at this one.
    const bool waits = mayWait() && !m_context.placement.choose(other, now);
    const auto maxWait = waits ? timeToWait(waitingCall(), now) : Milliseconds { 0 };
    m_permit = PermitWait::start(
        m_context, endpoint, maxWait, [weak = weak_from_this(), endpoint, tookRetry](bool isGranted) {
            const auto self = weak.lock();
            if (self && !self->m_isFinished)
                self->permitAnswered(endpoint, isGranted, tookRetry);
        });
}

void BufferedCall::permitAnswered(const std::shared_ptr<RelayEndpoint>& endpoint, bool isGranted, bool tookRetry)
{
    m_permit.reset();
    if (isGranted) {
        if (!refuseBeforeEnd(tookRetry))
            sendTo(endpoint, tookRetry);
        return;
    }
    if (tookRetry)
        m_context.retryBudget(m_request.service).giveBack();
    recover(RefusalReason::EndpointsLimited);
}

bool BufferedCall::isTooLate(Milliseconds at)
{
    return !m_context.mayPassOn(m_context.pace(m_request.service).medianCallTime(), at);
}

bool BufferedCall::refuseBeforeEnd(bool tookRetry)
{
    if (m_deliveries.possibleRuns() > 0 || !isTooLate(m_context.now()))
        return false;
    if (tookRetry)
        m_context.retryBudget(m_request.service).giveBack();
    refuse(RefusalReason::Stopping);
    return true;
}

void BufferedCall::stopRequested()
{
    if (!m_isFinished && m_waitingPlace && isTooLate(m_waitsUntil))
        refuse(RefusalReason::Stopping);
}

void BufferedCall::processEnds()
{
    if (m_isFinished)
        return;
    if (m_errorAnswer)
        answer(*m_errorAnswer, "endpoint-status", m_errorAnswer->call->endpoint()->entry().id);
    else
        refuse(m_deliveries.possibleRuns() > 0 ? RefusalReason::StoppedWhileRunning : RefusalReason::Stopping);
}

void BufferedCall::sendTo(const std::shared_ptr<RelayEndpoint>& endpoint, bool tookRetry)
{
    const auto now = m_context.now();
    m_triedEndpoints.push_back(endpoint);
    ForwardFields fields;
    fields.timeLeft = m_request.deadline - now;
    fields.endpointId = endpoint->entry().id;
    fields.organisation = m_request.organisation;
    if (m_request.rank.isNamed && m_context.hasEngines(m_request.service)) {
        const bool isLate = now > m_request.admittedAt + m_request.route->objective;
        fields.priority = enginePriority(m_request.rank.value, { .isLate = isLate });
    }
    const auto request = m_context.protocol.encodeForward(m_request.exchange->request(), fields);
    const auto& settings = m_context.settings;
    const auto maxIdleTime = m_request.route->mayRunAgain() ? settings.maxIdleTime : settings.maxIdleTimeForSingleRun;
    LogEvent("request.sent", !m_attempts.empty() ? LogImportance::Notable : LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("endpoint", endpoint->entry().id)
        .number("attempt", static_cast<std::int64_t>(m_attempts.size() + 1))
        .number("in_flight", endpoint->inFlight())
        .flag("avoided", endpoint->isAvoided(now))
        .number("config_version", static_cast<std::int64_t>(m_request.configurationVersion))
        .write();
    m_versions.noteSent();
    const auto checkAfter
        = std::max(usualCallTimes * m_context.pace(m_request.service).medianCallTime(), settings.minSilenceBeforeCheck);
    auto earlierConnections = m_deliveries.connections();
    auto attempt = std::make_unique<Attempt>();
    attempt->delivery = m_deliveries.add();
    attempt->tookRetry = tookRetry;
    auto& stored = *m_attempts.emplace_back(std::move(attempt));
    stored.call = EndpointCall::start(m_context, endpoint, request,
        { m_request.fields.requestId, maxIdleTime, checkAfter, std::move(earlierConnections) }, weak_from_this());
    m_deliveries.noteConnection(stored.delivery, stored.call->connectionNumber());
    const bool isFirst = m_attempts.size() == 1 && m_waits == 0;
    if (isFirst && m_request.route->mayRunAgain() && m_context.has(Policy::SecondSendings))
        armHedge();
}

void BufferedCall::armHedge()
{
    const auto& settings = m_context.settings;
    const auto usual = m_context.pace(m_request.service).hedgeDelay();
    m_hedgeTimer.expires_after(std::clamp(usual, settings.minHedgeDelay, settings.maxHedgeDelay));
    m_hedgeTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->hedge();
    });
}

void BufferedCall::hedge()
{
    // Do not risk a second endpoint with a request that may have crashed the earlier ones.
    if (!hasOpenAttempt() || m_deliveries.possibleRuns() >= m_request.route->maxAttempts || m_crashTracker.isSuspect())
        return;
    if (!m_context.retryBudget(m_request.service).take(RetryPurpose::Proactive, m_request.admittedAt, m_context.now()))
        return;
    // A hedge is optional, so it is not sent to a rate-limited endpoint.
    auto placementRequest = anyEndpoint();
    placementRequest.limited = LimitedEndpoints::Excluded;
    if (!sendNext(placementRequest, true))
        m_context.retryBudget(m_request.service).giveBack();
}

BufferedCall::Attempt& BufferedCall::attemptOf(const EndpointCall& call)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(),
        [&call](const std::unique_ptr<Attempt>& attempt) { return attempt->call.get() == &call; });
    return **found;
}

bool BufferedCall::hasOpenAttempt() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
        [](const std::unique_ptr<Attempt>& attempt) { return !attempt->call || !attempt->call->isOver(); });
}

void BufferedCall::callHeader(EndpointCall& call, const HttpResponse& head, const AnswerFields& fields)
{
    auto& attempt = attemptOf(call);
    attempt.answer.status = head.status;
    attempt.answer.headers = head.headers.endToEnd();
    attempt.fields = fields;
}

void BufferedCall::callBody(EndpointCall& call, std::string_view piece)
{
    auto& attempt = attemptOf(call);
    attempt.answer.body.append(piece);
    if (!attempt.memory)
        attempt.memory = holdAnswer(m_context, m_request, [weak = std::weak_ptr(attempt.call)] {
            const auto answering = weak.lock();
            if (!answering || answering->isOver())
                return false;
            answering->giveUp();
            return true;
        });
    attempt.memory->add(piece.size());
}

void BufferedCall::callEnded(EndpointCall& call)
{
    if (!m_isFinished)
        handleResponse(attemptOf(call));
}

void BufferedCall::handleResponse(Attempt& attempt)
{
    const auto& endpoint = attempt.call->endpoint();
    const auto status = attempt.answer.status;
    if (attempt.fields.isNotRun || attempt.fields.isOtherIncarnation) {
        m_deliveries.settle(attempt.delivery, DeliveryOutcome::NotRun);
        LogEvent("request.turned-away")
            .text("request", m_request.fields.requestId)
            .text("endpoint", endpoint->entry().id)
            .number("connection", static_cast<std::int64_t>(attempt.call->connectionNumber()))
            .number("status", status)
            .flag("says_not_run", attempt.fields.isNotRun)
            .number("retry_after_ms", attempt.fields.backOff.time.value_or(Milliseconds { -1 }).count())
            .flag("leaving", attempt.fields.isShuttingDown)
            .write();
        const auto now = m_context.now();
        if (attempt.fields.isOtherIncarnation)
            m_context.directory.noteMisdirected(*endpoint, now);
        else
            endpoint->avoidUntil(now + m_context.settings.avoidAfterRejection);
        recover(RefusalReason::EndpointsBusy);
        return;
    }
    if (!attempt.fields.isSigned) {
        // Without the endpoint's signature the response cannot be attributed to it.
        callFailed(*attempt.call, FailureKind::MalformedEvent);
        return;
    }
    m_crashTracker.noteHarmless();
    noteStarted(attempt.call->startedAt());
    if (status >= firstServerError)
        m_versions.noteAnswer(*endpoint, AnswerQuality::Bad);
    else
        m_versions.noteAnswerAfter(
            *endpoint, m_context.now() - attempt.call->startedAt(), m_context.pace(m_request.service).medianCallTime());
    if (status >= firstServerError && m_request.route->mayRunAgain()) {
        LogEvent("request.endpoint-error")
            .text("request", m_request.fields.requestId)
            .text("endpoint", endpoint->entry().id)
            .number("status", status)
            .write();
        m_errorAnswer = std::make_unique<Attempt>();
        m_errorAnswer->call = attempt.call;
        m_errorAnswer->answer = std::move(attempt.answer);
        m_errorAnswer->memory = std::move(attempt.memory);
        recover(RefusalReason::EndpointFailed);
        return;
    }
    answer(attempt, isSuccess(status) ? "answered" : "endpoint-status", endpoint->entry().id);
}

void BufferedCall::callFailed(EndpointCall& call, FailureKind kind)
{
    if (m_isFinished)
        return;
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    const auto& endpoint = call.endpoint();
    const bool wasSent = call.hasSent();
    LogEvent("request.attempt-failed")
        .text("request", m_request.fields.requestId)
        .text("endpoint", endpoint->entry().id)
        .text("failure", traitsOf(kind).name)
        .flag("sent", wasSent)
        .number("connection", static_cast<std::int64_t>(call.connectionNumber()))
        .number("after_ms", (now - call.startedAt()).count())
        .write();
    m_context.metrics.countFailure(kind);
    auto& attempt = attemptOf(call);
    m_deliveries.settle(attempt.delivery, wasSent ? DeliveryOutcome::MayHaveRun : DeliveryOutcome::Unsent);
    // Assigning an empty text would keep the memory.
    std::string().swap(attempt.answer.body);
    attempt.memory.reset();
    if (!wasSent) {
        endpoint->avoidUntil(now + settings.avoidAfterRefusal);
        if (attempt.tookRetry)
            m_context.retryBudget(m_request.service).giveBack();
    } else {
        m_versions.noteAnswer(*endpoint, AnswerQuality::Bad);
        m_crashTracker.noteUnfinished(call, { kind, RunStart::Assumed, now - call.startedAt() });
        endpoint->avoidUntil(now + settings.avoidAfterBrokenAnswer);
    }
    recover(wasSent ? RefusalReason::EndpointFailed : RefusalReason::NoEndpoint);
}

// Tries another endpoint if that is allowed, waits for an attempt that is still open, or gives up the request.
void BufferedCall::recover(RefusalReason lastReason)
{
    if (m_permit)
        return;
    auto attemptDecision = decideAttempt(m_crashTracker.attemptState(m_deliveries.possibleRuns()));
    if (attemptDecision == AttemptDecision::Held) {
        refuse(refusalAfter(attemptDecision, m_deliveries.possibleRuns()));
        return;
    }
    if (waitsForEvaluation(lastReason))
        return;
    auto& budget = m_context.retryBudget(m_request.service);
    const bool isRetry = m_deliveries.possibleArrivals() > 0;
    if (attemptDecision == AttemptDecision::Allowed && isRetry
        && !budget.take(retryPurposeAfter(lastReason), m_request.admittedAt, m_context.now()))
        attemptDecision = AttemptDecision::RetriesSpent;
    // Endpoints that are known to be full or unreachable are not tried one after another; the call waits instead.
    if (attemptDecision == AttemptDecision::Allowed) {
        if (sendNext(mayWait() ? healthyEndpoint() : anyEndpoint(), isRetry))
            return;
        if (isRetry)
            budget.giveBack();
    }
    if (hasOpenAttempt())
        return;
    if (m_errorAnswer) {
        const auto endpointId = m_errorAnswer->call->endpoint()->entry().id;
        answer(*m_errorAnswer, "endpoint-status", endpointId);
    } else if (m_deliveries.possibleRuns() > 0) {
        refuse(RefusalReason::EndpointFailed);
    } else {
        waitForCapacity(
            attemptDecision == AttemptDecision::RetriesSpent ? RefusalReason::RetryBudgetSpent : lastReason);
    }
}

bool BufferedCall::waitsForEvaluation(RefusalReason lastReason)
{
    if (decideAttempt(m_crashTracker.attemptState(m_deliveries.possibleRuns())) != AttemptDecision::Undecided)
        return false;
    m_waitTimer.expires_after(m_context.settings.endpointRetryInterval);
    m_waitTimer.async_wait([weak = weak_from_this(), lastReason](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->recover(lastReason);
    });
    return true;
}

void BufferedCall::refuseAsHeld() { refuse(refusalAfter(AttemptDecision::Held, m_deliveries.possibleRuns())); }

bool BufferedCall::mayWait() const
{
    return m_deliveries.possibleRuns() == 0 && !m_errorAnswer && m_context.has(Policy::Waiting);
}

double BufferedCall::jitter() const
{
    const auto& id = m_request.fields.requestId;
    const auto hash = static_cast<std::uint32_t>(XXH64(id.data(), id.size(), m_waits));
    return static_cast<double>(hash) / std::numeric_limits<std::uint32_t>::max();
}

WaitingCall BufferedCall::waitingCall() const
{
    const auto waited = m_context.now() - m_request.admittedAt;
    return { m_request.admittedAt, m_request.deadline, m_waits,
        agedRank(m_request.rank, waited, m_context.settings.rankAgeingTime) };
}

UnplacedRequest BufferedCall::unplaced(RefusalReason lastReason)
{
    auto placementRequest = anyEndpoint();
    placementRequest.excluded.clear();
    return { waitingCall(), m_context.placement.nextAvailability(placementRequest, m_context.now()),
        m_context.pace(m_request.service).medianCallTime(), jitter(), lastReason };
}

void BufferedCall::waitForCapacity(RefusalReason lastReason)
{
    const auto now = m_context.now();
    const auto state = unplaced(lastReason);
    const auto decision = waitOrRefuse(state, now);
    const auto isTooLateAfterWait = isTooLate(now + decision.pause);
    const auto reason = isTooLateAfterWait ? RefusalReason::Stopping : decision.reason;
    // Behind a partition this means that no VM helps either, and the caller's next try reaches another VM.
    const bool isPartitioned = lastReason == RefusalReason::NoEndpoint && m_context.directory.isPartitioned();
    if (mayWait() && decision.waits && !isPartitioned && !isTooLateAfterWait) {
        m_waitingPlace = m_context.waitingRequestLimit.enter(
            { m_request.exchange->request().body.size(), { m_request.rank, m_request.admittedAt } }, now,
            [weak = weak_from_this(), reason] {
                if (const auto self = weak.lock())
                    self->displaced(reason);
            });
    }
    if (!m_waitingPlace) {
        refuse(reason);
        return;
    }
    LogEvent("request.waits-for-place")
        .text("request", m_request.fields.requestId)
        .text("reason", traitsOf(reason).name)
        .number("pause_ms", decision.pause.count())
        .number("usual_call_ms", state.medianCallTime.count())
        .number("time_left_ms", (m_request.deadline - now).count())
        .number("waiting", static_cast<std::int64_t>(m_context.waitingRequestLimit.count()))
        .write();
    ++m_waits;
    m_waitsUntil = now + decision.pause;
    m_waitTimer.expires_after(decision.pause);
    m_waitTimer.async_wait([weak = weak_from_this(), reason](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->retryAfterWait(reason);
    });
}

void BufferedCall::leaveWaitingRequestLimit()
{
    if (const auto place = std::exchange(m_waitingPlace, std::nullopt))
        m_context.waitingRequestLimit.leave(*place);
}

void BufferedCall::displaced(RefusalReason reason)
{
    m_waitingPlace.reset();
    if (m_isFinished)
        return;
    LogEvent("request.displaced")
        .text("request", m_request.fields.requestId)
        .number("rank", loggedRank(m_request.rank))
        .write();
    refuse(reason);
}

void BufferedCall::retryAfterWait(RefusalReason lastReason)
{
    leaveWaitingRequestLimit();
    m_triedEndpoints.clear();
    if (waitsForEvaluation(lastReason))
        return;
    auto& budget = m_context.retryBudget(m_request.service);
    const bool isRetry = m_deliveries.possibleArrivals() > 0;
    if (isRetry && !budget.take(retryPurposeAfter(lastReason), m_request.admittedAt, m_context.now())) {
        waitForCapacity(RefusalReason::RetryBudgetSpent);
        return;
    }
    if (sendNext(anyEndpoint(), isRetry))
        return;
    if (isRetry)
        budget.giveBack();
    waitForCapacity(lastReason);
}

void BufferedCall::timedOut()
{
    if (m_isFinished)
        return;
    const auto now = m_context.now();
    const auto isSent = [](const std::unique_ptr<Attempt>& attempt) { return attempt->call->hasSent(); };
    for (const auto& attempt : m_attempts) {
        if (!attempt->call->isOver() && attempt->call->hasSent())
            attempt->call->endpoint()->avoidUntil(now + m_context.settings.avoidAfterSilence);
    }
    const bool wasSent = std::any_of(m_attempts.begin(), m_attempts.end(), isSent);
    refuse(wasSent ? RefusalReason::TimedOut : RefusalReason::TimedOutUnsent);
}

// Only a call with a single attempt shows how long calls take: a hedge is sent because the first attempt is slow.
void BufferedCall::recordCallTime(Milliseconds now)
{
    if (m_attempts.size() == 1 && m_context.has(Policy::LearnedPace))
        m_context.pace(m_request.service).callTime.add(static_cast<double>((now - m_request.admittedAt).count()), now);
}

void BufferedCall::noteStarted(Milliseconds startedAt)
{
    if (!std::exchange(m_isStartNoted, true))
        m_context.noteStarted(m_request.organisation, startedAt);
}

void BufferedCall::answer(Attempt& attempt, std::string_view outcome, std::string_view endpointId)
{
    auto response = std::move(attempt.answer);
    response.heldUntilSent = std::move(attempt.memory);
    const auto now = m_context.now();
    recordCallTime(now);
    LogEvent("request.done", LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("outcome", outcome)
        .text("endpoint", endpointId)
        .number("status", response.status)
        .number("attempts", static_cast<std::int64_t>(m_attempts.size()))
        .number("took_ms", (now - m_request.admittedAt).count())
        .write();
    m_context.metrics.countRequest(m_request.route->kind, response.status, now - m_request.admittedAt);
    m_request.exchange->respond(std::move(response));
    finish();
}

void BufferedCall::refuse(RefusalReason reason)
{
    const auto now = m_context.now();
    const auto& traits = traitsOf(reason);
    LogEvent("request.refused")
        .text("request", m_request.fields.requestId)
        .text("reason", traits.name)
        .number("status", traits.status)
        .number("attempts", static_cast<std::int64_t>(m_attempts.size()))
        .number("took_ms", (now - m_request.admittedAt).count())
        .write();
    m_context.metrics.countRequest(m_request.route->kind, traits.status, now - m_request.admittedAt);
    auto retryDelay = reason == RefusalReason::HeldInQuarantine
        ? m_context.crashGuard.quarantineTimeLeft(m_request.digest)
        : retryDelayAfterRefusal(unplaced(reason), now);
    // The endpoints stay unreachable from here, but the caller's next try reaches another VM.
    if (reason == RefusalReason::NoEndpoint && m_context.directory.isPartitioned())
        retryDelay = std::min(retryDelay, m_context.settings.retryAfter);
    m_request.exchange->respond(refusal(m_context, reason, retryDelay));
    finish();
}

void BufferedCall::finish()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_openCalls->remove(*this);
    m_crashTracker.end();
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    m_waitTimer.cancel();
    m_permit.reset();
    leaveWaitingRequestLimit();
    // An attempt that was sent and not answered has probably run.
    if (m_deliveries.possibleRuns() > 0 && !m_attempts.empty())
        noteStarted(m_attempts.front()->call->startedAt());
    for (const auto& attempt : m_attempts)
        attempt->call->cancel();
}

} // namespace lupinknot::internal
