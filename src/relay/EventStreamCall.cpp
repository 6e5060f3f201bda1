#include "relay/EventStreamCall.h"

#include "admission/AttemptAdmission.h"
#include "admission/RetryPurpose.h"
#include "admission/RetryWait.h"
#include "common/EventLog.h"
#include "common/NameHash.h"
#include "copies/RunCopier.h"
#include "health/EndpointFailureCheck.h"
#include "http/HttpExchange.h"
#include "quarantine/HoldRetraction.h"
#include "relay/AnswerHolding.h"
#include "relay/EarlierRunSearch.h"
#include "relay/EndpointDirectory.h"
#include "relay/EngineChoice.h"
#include "relay/LiveEngineSearch.h"
#include "relay/PermitWait.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"
#include "relay/RunLivenessMonitor.h"
#include "relay/RunMover.h"
#include "relay/RunRelocation.h"
#include "relay/StreamLog.h"
#include "relay/StreamResponse.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr unsigned okStatus = 200;
constexpr unsigned firstServerError = 500;
// After more rejected runs, retries are not borrowed: the service is full, or the VM is wrong about its copies.
constexpr unsigned maxRejectedRunsOnLoan = 1;
// How long a silent run that its engine has been asked to stop is kept beside the run in its place. Two engines may
// work on one request for 400 ms, and the close has to arrive.
constexpr Milliseconds keepStoppedRunFor { 200 };

// What a failed run shows about its engine.
enum class EngineEvidence {
    None, // It may concern the request only: an unexpected response, or a pause while the engine answers probes.
    Failed, // The engine refuses connections or does not answer a probe.
    ConnectionBroke, // The engine has ended, or only the connection was reset.
};

// The engine, or only the connection, has ended the answer early.
bool isBrokenOff(FailureKind kind) { return kind == FailureKind::ConnectionLost || kind == FailureKind::EarlyEnd; }

EngineEvidence evidenceOf(FailureKind kind, bool hasProbeFailed)
{
    if (kind == FailureKind::ConnectionRefused || (kind == FailureKind::Silent && hasProbeFailed))
        return EngineEvidence::Failed;
    return isBrokenOff(kind) ? EngineEvidence::ConnectionBroke : EngineEvidence::None;
}

FailureEvidence failureEvidenceOf(FailureKind kind, bool isRefused)
{
    if (kind == FailureKind::Silent)
        return FailureEvidence::Silent;
    const bool isUnreachable = kind == FailureKind::ConnectionRefused && !isRefused;
    return isUnreachable ? FailureEvidence::Unreachable : FailureEvidence::Failed;
}

ContinuedAt continuationOf(const std::optional<std::string>& beganVersion, const std::string& version)
{
    if (!beganVersion)
        return ContinuedAt::UnknownVersion;
    return *beganVersion == version ? ContinuedAt::SameVersion : ContinuedAt::OtherVersion;
}

EngineContact contactOf(const StreamRun& run, FailureKind kind)
{
    if (kind != FailureKind::Silent || !run.silence || run.silence->reason != SilenceReason::NoAnswer)
        return EngineContact::Answers;
    return run.silence->isConnected ? EngineContact::Accepts : EngineContact::None;
}

} // namespace

void EventStreamCall::serve(RelayContext& context, RelayRequest request)
{
    const std::shared_ptr<EventStreamCall> call(new EventStreamCall(context, std::move(request)));
    call->begin();
}

EventStreamCall::EventStreamCall(RelayContext& context, RelayRequest request)
    : m_context(context)
    , m_openCalls(context.openCalls)
    , m_request(std::move(request))
    , m_timing(m_context, m_request)
    , m_versions(m_context, m_request)
    , m_crashTracker(m_context, m_request)
    , m_endedRuns(m_context, m_request.service, m_request.fields.requestId)
    , m_choice(EngineChoice::make(m_context, m_request, m_versions, m_endedRuns))
    , m_answer(StreamResponse::make(m_request))
    , m_deadlineTimer(context.ioContext)
    , m_retryTimer(context.ioContext)
    , m_stopTimer(context.ioContext)
    , m_stoppedRunTimer(context.ioContext)
{
}

EventStreamCall::~EventStreamCall() { m_openCalls->remove(*this); }

void EventStreamCall::begin()
{
    m_openCalls->add(*this);
    // Weak, because the callbacks of the monitor's timer may still run once after this call is destroyed.
    const auto ifNotFinished = [weak = weak_from_this()](void (EventStreamCall::*action)()) {
        return [weak, action] {
            if (const auto self = weak.lock(); self && !self->m_isFinished)
                (self.get()->*action)();
        };
    };
    m_livenessMonitor = RunLivenessMonitor::make(m_context, m_request,
        { [weak = weak_from_this()](const RunSilence& silence) {
             if (const auto self = weak.lock(); self && !self->m_isFinished)
                 self->runStalled(silence);
         },
            ifNotFinished(&EventStreamCall::considerMove) });
    m_mover
        = std::make_unique<RunMover>(m_context, m_request, m_versions, [weak = weak_from_this()](const RunMove& move) {
              if (const auto self = weak.lock(); self && !self->m_isFinished)
                  self->moveFinished(move);
          });
    m_copier = std::make_unique<RunCopier>(m_context, m_request, m_versions);
    m_crashTracker.begin(ifNotFinished(&EventStreamCall::requestBecameHeld));
    m_answer->countIn(holdAnswer(m_context, m_request, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_isFinished)
            return false;
        self->answerBecameTooLarge();
        return true;
    }));
    m_deadlineTimer.expires_after(m_request.deadline - m_context.now());
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->timedOut();
    });
    m_request.exchange->onPeerDisconnected([self = shared_from_this()] {
        if (self->m_isFinished)
            return;
        LogEvent("request.caller-gone").text("request", self->m_request.fields.requestId).write();
        self->countStream(StreamOutcome::CallerGone);
        self->finish();
    });
    if (!isResumption()) {
        startRun();
        return;
    }
    m_search = EarlierRunSearch::start(m_context, m_request, [weak = weak_from_this()](const EarlierRun& run) {
        if (const auto self = weak.lock(); self && !self->m_isFinished)
            self->earlierRunFound(run);
    });
}

bool EventStreamCall::isResumption() const
{
    return m_request.fields.lastEventId.value_or(0) > 0 || !m_request.fields.resumedRequestId.empty();
}

void EventStreamCall::earlierRunFound(const EarlierRun& run)
{
    logReturned(m_request, run);
    if (!run.version.version) {
        refuse(RefusalReason::VersionUnknown);
        return;
    }
    m_versions.bindTo(*run.version.version);
    m_earlierRun = run.location;
    if (run.location)
        m_choice->setEarlierRun(*run.location);
    startRun();
}

void EventStreamCall::startRunIfAllowed(
    const std::shared_ptr<RelayEndpoint>& engine, std::optional<RunMemorySource> copy)
{
    m_tookRetryForNextRun = false;
    // The limit is one of engines, and the engine of a stopped run is one of those that had the request.
    if (!mayRunOnceMore(m_crashTracker.attemptState(m_deliveries.possibleRuns())) && !isKept(engine, copy)) {
        logLostRunEnds(continuation::runsUsedUp);
        giveUp(refusalAfter(AttemptDecision::RunsSpent, m_deliveries.possibleRuns()));
        return;
    }
    const auto now = m_context.now();
    // The retry is taken after the wait for a lost run, because a loan could expire in it. A silent run is kept until
    // there is a retry.
    if (copy && !m_silentRun && !m_endedRuns.mayStopNewRunAt(*engine)) {
        endRunsBefore(engine, *copy);
        if (!m_endedRuns.mayContinue(now)) {
            waitForStop(engine, *copy, &EventStreamCall::startRunIfAllowed);
            return;
        }
    }
    if (m_deliveries.possibleArrivals() > 0 && !(m_loan && m_loan->isValid(now))) {
        m_loan.reset();
        const auto purpose = retryPurpose(copy.has_value());
        m_tookRetryForNextRun = m_context.retryBudget(m_request.service).take(purpose, m_request.admittedAt, now);
        if (!m_tookRetryForNextRun) {
            logLackOfRetry(m_request, *m_answer,
                { purpose, m_context.retryBudget(m_request.service).accountFor(purpose, m_request.admittedAt, now),
                    m_silentRun != nullptr, m_endedRuns.openStops() },
                now);
            if (!borrowRetry(purpose))
                giveUpWithoutRetry();
            return;
        }
    }
    startRunAt(engine, std::move(copy));
}

RetryPurpose EventStreamCall::retryPurpose(bool isFromCopy) const
{
    const auto now = m_context.now();
    if (mayUseWholePart(now))
        return RetryPurpose::WaitingStream;
    if (isFromCopy)
        return m_timing.canBeInTime(Milliseconds { 0 }, now) ? RetryPurpose::Continuation : RetryPurpose::LateStream;
    // A caller that resumes a stream is in mid-stream.
    const bool isBeforeFirstEvent = m_answer->length() == 0 && !m_request.fields.lastEventId;
    return isBeforeFirstEvent && m_timing.canBeInTime(m_timing.shortestPrefillTime(), now) ? RetryPurpose::Restart
                                                                                           : RetryPurpose::LateStream;
}

bool EventStreamCall::mayUseWholePart(Milliseconds now) const
{
    return m_waitsForRetrySince && now - *m_waitsForRetrySince >= m_context.settings.retryPatience;
}

bool EventStreamCall::mayTryCopy() const
{
    const auto now = m_context.now();
    const bool isRetry = m_deliveries.possibleArrivals() > 0;
    return isRetry || m_context.pace(m_request.service).copyOutcomes.areExpected(now)
        || m_context.retryBudget(m_request.service).isLeft(retryPurpose(false), m_request.admittedAt, now)
        || m_timing.lacksTimeToFinish(m_answer->lastEventId(), false);
}

bool EventStreamCall::areCopiesExpected() const
{
    return m_context.pace(m_request.service).continuationOutcomes.areExpected(m_context.now());
}

bool EventStreamCall::borrowRetry(RetryPurpose purpose)
{
    if (!m_context.retryLoans || !mayBorrow(purpose) || m_rejectedRuns > maxRejectedRunsOnLoan)
        return false;
    m_loanRequest
        = m_context.retryLoans->ask({ m_request.fields.requestId, m_request.service, purpose, m_request.rank.value },
            [weak = weak_from_this()](const std::optional<RetryLoan>& loan) {
                if (const auto self = weak.lock(); self && !self->m_isFinished)
                    self->retryBorrowed(loan);
            });
    return true;
}

// The engine is chosen again, because the one chosen before may have failed or been taken since.
void EventStreamCall::retryBorrowed(const std::optional<RetryLoan>& loan)
{
    m_loanRequest.reset();
    m_loan = loan;
    if (m_loan)
        startRun();
    else
        giveUpWithoutRetry();
}

bool EventStreamCall::waitForRetry()
{
    if (m_silentRun || !m_answer->hasBegun())
        return false;
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    auto& budget = m_context.retryBudget(m_request.service);
    const bool isPromptKept = copyTarget().has_value();
    const auto retryAt = earliestRetry({ budget.availableAt(retryPurpose(isPromptKept), m_request.admittedAt, now),
        budget.availableAt(RetryPurpose::WaitingStream, m_request.admittedAt, now),
        m_waitsForRetrySince.value_or(now) + settings.retryPatience });
    const auto timeToFinish = m_timing.timeToFinish(m_answer->lastEventId(), isPromptKept);
    if (!retryAt || !mayWaitForRetry(*retryAt, timeToFinish, m_request.deadline))
        return false;
    if (!m_waitsForRetrySince) {
        m_waitsForRetrySince = now;
        logWaitsForRetry(m_request, *m_answer, *retryAt - now, timeToFinish, now);
    }
    m_retryTimer.expires_after(
        rankedDelay(m_request.rank, settings.retryCheckInterval, fractionOfName(m_request.fields.requestId)));
    m_retryTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->checkRetryBudget();
    });
    return true;
}

void EventStreamCall::checkRetryBudget()
{
    const auto purpose = retryPurpose(copyTarget().has_value());
    if (m_context.retryBudget(m_request.service).isLeft(purpose, m_request.admittedAt, m_context.now()))
        startRun();
    else
        giveUpWithoutRetry();
}

void EventStreamCall::giveUpWithoutRetry()
{
    if (waitForRetry())
        return;
    logLostRunEnds(continuation::noRetryLeft);
    giveUp(refusalAfter(AttemptDecision::RetriesSpent, m_deliveries.possibleRuns()));
}

bool EventStreamCall::mayBeSent()
{
    const auto attemptDecision = decideAttempt(m_crashTracker.attemptState(m_deliveries.possibleRuns()));
    if (attemptDecision == AttemptDecision::Held)
        giveUpAsHeld();
    else if (attemptDecision == AttemptDecision::Undecided)
        startRunLater();
    return attemptDecision != AttemptDecision::Held && attemptDecision != AttemptDecision::Undecided;
}

bool EventStreamCall::mayHoldEnd() const
{
    if (m_run || !m_answer->hasBegun())
        return false;
    const auto now = m_context.now();
    const auto& digest = m_request.digest;
    const auto needed = m_timing.timeToFinish(m_answer->lastEventId(), false);
    return mayHoldBeRetracted(m_context.crashGuard.knownCrashes(digest), now)
        || now + m_context.crashGuard.quarantineTimeLeft(digest) + needed <= m_request.deadline;
}

void EventStreamCall::giveUpAsHeld()
{
    if (mayHoldEnd()) {
        startRunLater();
        return;
    }
    logLostRunEnds(continuation::held);
    endStream(refusalAfter(AttemptDecision::Held, m_deliveries.possibleRuns()));
}

void EventStreamCall::answerBecameTooLarge() { endStream(RefusalReason::EndpointFailed); }

// A run that produces events does not crash its engine, whatever happened to other runs of the request.
void EventStreamCall::requestBecameHeld()
{
    if (m_silentRun) {
        cancelSubstitute();
        returnToSilentRun();
    }
    if (!m_run || !m_run->hasEvent)
        giveUpAsHeld();
}

void EventStreamCall::startRun()
{
    if (m_silentRun) {
        returnToSilentRun();
        searchSubstitute(*m_run->silence, false);
        return;
    }
    if (!mayBeSent())
        return;
    if (isTooLate()) {
        refuse(RefusalReason::Stopping);
        return;
    }
    if (m_versions.isBoundVersionGone()) {
        logLostRunEnds(continuation::versionGone);
        giveUp(RefusalReason::VersionGone);
        return;
    }
    if (const auto copyLocation = copyTarget()) {
        if (mayTryCopy()) {
            startRunIfAllowed(copyLocation->engine, copyLocation->copy);
            return;
        }
        logNotContinued(m_request, continuation::copyNotTried, false, true);
    }
    const auto earlier = m_choice->takeEarlierEngine();
    if (m_deliveries.possibleRuns() == 0 && m_context.has(Policy::TimeCheck)
        && m_timing.lacksTimeToFinish(m_answer->lastEventId(), earlier != nullptr)) {
        giveUp(RefusalReason::TooLittleTime);
        return;
    }
    m_isEngineWithPrompt = earlier != nullptr;
    if (earlier) {
        engineChosen(earlier);
        return;
    }
    m_choice->choose([weak = weak_from_this()](const std::shared_ptr<RelayEndpoint>& engine) {
        const auto self = weak.lock();
        if (self && !self->m_isFinished)
            self->engineChosen(engine);
    });
}

bool EventStreamCall::isTooLate()
{
    const auto usual = m_context.pace(m_request.service).medianTimeToFirstEvent(m_request.fields.promptTokens);
    return !m_answer->hasBegun() && m_deliveries.possibleRuns() == 0 && !m_context.mayPassOn(usual, m_context.now());
}

void EventStreamCall::processEnds()
{
    if (!m_isFinished && !m_answer->hasBegun())
        refuse(m_deliveries.possibleRuns() > 0 ? RefusalReason::StoppedWhileRunning : RefusalReason::Stopping);
}

void EventStreamCall::engineChosen(const std::shared_ptr<RelayEndpoint>& engine)
{
    if (!engine)
        waitForEndpoint();
    else
        startRunIfAllowed(engine, std::nullopt);
}

void EventStreamCall::startRunAt(const std::shared_ptr<RelayEndpoint>& endpoint, std::optional<RunMemorySource> copy)
{
    if (!endpoint->isLimited()) {
        sendTo(endpoint, std::move(copy));
        return;
    }
    const auto maxWait = m_choice->permitTimeoutFor(copy.has_value());
    m_permit = PermitWait::start(
        m_context, endpoint, maxWait, [weak = weak_from_this(), endpoint, copy = std::move(copy)](bool isGranted) {
            const auto self = weak.lock();
            if (!self || self->m_isFinished)
                return;
            self->m_permit.reset();
            if (isGranted && !self->isTooLate()) {
                self->sendTo(endpoint, copy);
                return;
            }
            if (std::exchange(self->m_tookRetryForNextRun, false))
                self->m_context.retryBudget(self->m_request.service).giveBack();
            self->startRun();
        });
}

void EventStreamCall::sendTo(const std::shared_ptr<RelayEndpoint>& endpoint, std::optional<RunMemorySource> copy)
{
    const auto now = m_context.now();
    const auto loan = std::exchange(m_loan, std::nullopt);
    if (loan && !m_tookRetryForNextRun && !loan->isValid(now)) {
        // The loan has expired while the stream waited for its send slot.
        startRun();
        return;
    }
    if (m_endedRuns.mayStopNewRunAt(*endpoint)) {
        m_loan = loan;
        postponeRun();
        return;
    }
    if (copy) {
        endRunsBefore(endpoint, *copy);
        if (!m_endedRuns.mayContinue(now)) {
            m_loan = loan;
            waitForStop(endpoint, *copy, &EventStreamCall::sendTo);
            return;
        }
        if (m_silentRun && m_endedRuns.hasAnsweredStop(*m_silentRun->endpoint))
            releaseSilentRun(FailureKind::Silent);
    }
    const auto& exchange = m_request.exchange;
    const auto run = makeRun(endpoint, copy);
    run->loan = loan;

    auto fields = forwardFieldsFor(*run);
    m_choice->noteSent(copy);
    if (copy) {
        m_copier->noteContinued(copy->name);
        m_endedRuns.noteContinued(*copy);
    }
    fields.continueFrom = std::move(copy);

    logRunSent(m_request, *run, *m_answer, m_attempts == 0, now);
    m_versions.noteSent();
    ++m_attempts;
    run->delivery = m_deliveries.add();
    if (!run->isFromCopy)
        run->reading
            = std::make_unique<PrefillScope>(endpoint, m_context.pace(m_request.service).waitingPrompts, run->priority);
    m_run = run;
    m_choice->noteLocation(*run);
    const auto request = m_context.protocol.encodeForward(exchange->request(), fields);
    run->call = EndpointCall::start(m_context, endpoint, request,
        { .requestId = m_request.fields.requestId,
            // What broke the connection of the lost run may have broken kept ones, and a copy is tried only once.
            .maxIdleTime = m_failedAt ? Milliseconds { 0 } : m_context.settings.maxIdleTime,
            .earlierConnections = m_deliveries.connections() },
        weak_from_this());
    m_deliveries.noteConnection(run->delivery, run->call->connectionNumber());
    stopEndedRuns();
    m_livenessMonitor->begin(m_run);
    if (m_silentRun && m_silentRun->isBeingStopped)
        releaseStoppedRunLater();
}

std::shared_ptr<StreamRun> EventStreamCall::makeRun(
    const std::shared_ptr<RelayEndpoint>& endpoint, const std::optional<RunMemorySource>& copy)
{
    const auto now = m_context.now();
    auto run = std::make_shared<StreamRun>();
    run->number = m_answer->beginRun();
    run->endpoint = endpoint;
    run->copyHolder = m_choice->chooseCopyHolder(*endpoint);
    run->startedAt = now;
    run->lastActivity = now;
    run->isFromCopy = copy.has_value();
    run->copyName = copy ? copy->name : std::string();
    run->tookRetry = std::exchange(m_tookRetryForNextRun, false);
    if (const auto since = std::exchange(m_waitsForRetrySince, std::nullopt)) {
        run->retryWait = now - *since;
        m_context.metrics.retryWait.Observe(static_cast<double>(run->retryWait.count()));
    }
    if (const auto since = std::exchange(m_waitsForStopSince, std::nullopt)) {
        run->stopWait = now - *since;
        m_context.metrics.stopWait.Observe(static_cast<double>(run->stopWait.count()));
    }
    return run;
}

ForwardFields EventStreamCall::forwardFieldsFor(StreamRun& run)
{
    ForwardFields fields;
    fields.timeLeft = m_request.deadline - run.startedAt;
    fields.endpointId = run.endpoint->entry().id;
    fields.organisation = m_request.organisation;
    const bool isPromptCached = run.isFromCopy || std::exchange(m_isEngineWithPrompt, false);
    fields.priority = choosePriority(isPromptCached);
    run.priority = fields.priority;
    if (!isPromptCached)
        noteWork(m_request.fields.promptTokens);
    if (m_request.fields.lastEventId || m_answer->length() > 0)
        fields.lastEventId = m_answer->lastEventId();
    if (run.copyHolder)
        fields.copyTo = run.copyHolder->entry().address;
    return fields;
}

void EventStreamCall::endRunsBefore(const std::shared_ptr<RelayEndpoint>& endpoint, const RunMemorySource& copy)
{
    if (m_silentRun && !m_silentRun->isBeingStopped) {
        m_copier->runLost(*m_silentRun);
        noteEnded(*m_silentRun, FailureKind::Silent);
        m_silentRun->isBeingStopped = true;
        m_silentRun->wasAskedToStop = true;
    }
    takeOverEarlierRun(copy);
    m_endedRuns.stopAllBut({ endpoint }, copy.name);
}

void EventStreamCall::waitForStop(
    const std::shared_ptr<RelayEndpoint>& endpoint, const RunMemorySource& copy, ContinuationStep step)
{
    m_waitsForStopSince = m_waitsForStopSince.value_or(m_context.now());
    m_stopTimer.expires_after(m_context.settings.stopCheckInterval);
    m_stopTimer.async_wait([weak = weak_from_this(), endpoint, copy, step](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->endWaitForStop(endpoint, copy, step);
    });
}

void EventStreamCall::endWaitForStop(
    const std::shared_ptr<RelayEndpoint>& endpoint, const RunMemorySource& copy, ContinuationStep step)
{
    if (endpoint->mayTakeWork(m_context.now(), m_context.settings.removedEndpointGrace)) {
        (this->*step)(endpoint, copy);
        return;
    }
    if (std::exchange(m_tookRetryForNextRun, false))
        m_context.retryBudget(m_request.service).giveBack();
    startRun();
}

void EventStreamCall::postponeRun()
{
    if (std::exchange(m_tookRetryForNextRun, false))
        m_context.retryBudget(m_request.service).giveBack();
    startRunLater();
}

void EventStreamCall::takeOverEarlierRun(const RunMemorySource& copy)
{
    if (!m_earlierRun || copy.name != m_earlierRun->requestId)
        return;
    if (const auto engine = m_context.directory.find(m_earlierRun->endpointId))
        m_endedRuns.add({ engine, m_earlierRun->requestId });
    m_earlierRun.reset();
}

bool EventStreamCall::haveCopiesExpired() const
{
    const auto* service = m_context.configuration->findService(m_request.service);
    const auto keptFor = service ? service->handleTime : Milliseconds { 0 };
    return m_failedAt && keptFor > Milliseconds { 0 } && m_context.now() - *m_failedAt >= keptFor;
}

std::optional<RunTarget> EventStreamCall::copyTarget()
{
    if (auto copy = m_choice->copyTarget(); copy && !haveCopiesExpired())
        return copy;
    auto stopped = m_endedRuns.stoppedRun();
    return stopped && m_versions.next().admits(stopped->engine->entry().version) ? stopped : std::nullopt;
}

void EventStreamCall::noteEnded(const StreamRun& run, FailureKind kind)
{
    // An engine that has answered with an error does not work on the request any more.
    if (run.call->hasSent() && !run.fields.isNotRun && !run.fields.isOtherIncarnation
        && kind != FailureKind::ErrorStatus)
        m_endedRuns.add({ run.endpoint, m_request.fields.requestId, contactOf(run, kind) });
}

void EventStreamCall::stopEndedRuns()
{
    EndedRuns::Engines inUse;
    for (const auto& run : { m_run, m_silentRun }) {
        if (run)
            inUse.push_back(run->endpoint);
    }
    if (!inUse.empty())
        m_endedRuns.stopAllBut(inUse, m_run ? m_run->copyName : std::string());
}

std::optional<unsigned> EventStreamCall::choosePriority(bool isPromptCached)
{
    if (!m_request.rank.isNamed || !m_context.hasEngines(m_request.service))
        return std::nullopt;
    const StreamState state { .firstAttemptAt = m_request.firstAttemptAt,
        .objective = m_request.route->objective,
        .longestPause = m_request.route->longestPause,
        .isMidStream = m_answer->lastEventId() > 0,
        .lastEventAt = m_answer->lastEventAt(),
        .isPromptCached = isPromptCached,
        .firstEventForecast = m_choice->firstEventForecast() };
    // A forecast concerns one run; the other reasons hold for the rest of the stream.
    if (m_lateness == Lateness::InTime || m_lateness == Lateness::ByForecast) {
        m_lateness = latenessOf(state, m_context.now());
        if (m_lateness != Lateness::InTime)
            logLate(m_request, nameIn(latenessNames, m_lateness), state.firstEventForecast, m_context.now());
    }
    const ShareKey share { m_request.service, m_request.rank.value, m_request.organisation };
    const bool isAboveShare = lacksRoom(state) && m_context.shares.isAboveShare(share, m_context.now());
    return enginePriority(
        m_request.rank.value, { .isLate = m_lateness != Lateness::InTime, .isAboveShare = isAboveShare });
}

void EventStreamCall::noteWork(double tokens)
{
    if (m_request.rank.isNamed && !m_request.organisation.empty())
        m_context.shares.note(
            { m_request.service, m_request.rank.value, m_request.organisation }, tokens, m_context.now());
}

void EventStreamCall::waitForEndpoint()
{
    if (m_answer->length() == 0) {
        const auto& settings = m_context.settings;
        const auto decision = waitOrRefuseStream(m_choice->nextAvailability(), m_deliveries.possibleRuns(),
            m_request.admittedAt + settings.waitForEndpoint, settings.endpointRetryInterval, m_context.now());
        // Behind a partition no VM helps either, and the caller's next try reaches another VM.
        if (!decision.waits || m_context.directory.isPartitioned()) {
            logLostRunEnds(continuation::noEngine);
            giveUp(decision.reason);
            return;
        }
    }
    startRunLater();
}

void EventStreamCall::startRunLater()
{
    const auto& settings = m_context.settings;
    const auto rank = agedRank(m_request.rank, m_context.now() - m_request.admittedAt, settings.rankAgeingTime);
    m_retryTimer.expires_after(
        rankedDelay(rank, settings.endpointRetryInterval, fractionOfName(m_request.fields.requestId)));
    m_retryTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished && !self->m_run)
            self->startRun();
    });
}

std::shared_ptr<StreamRun> EventStreamCall::runOf(const EndpointCall& call) const
{
    for (const auto& run : { m_run, m_silentRun }) {
        if (run && run->call.get() == &call)
            return run;
    }
    return nullptr;
}

void EventStreamCall::callHeader(EndpointCall& call, const HttpResponse& head, const AnswerFields& fields)
{
    const auto run = runOf(call);
    if (!run)
        return;
    run->headerReceivedAt = m_context.now();
    run->head.status = head.status;
    run->head.headers = head.headers.endToEnd();
    run->fields = fields;
    run->isFramed = head.headers.find("Transfer-Encoding") || head.headers.find("Content-Length");
    run->isStream = head.status == okStatus && fields.isSigned;
    run->endpoint->noteAlive(m_context.now());
}

void EventStreamCall::callBody(EndpointCall& call, std::string_view piece)
{
    const auto run = runOf(call);
    if (!run)
        return;
    m_answer->count(piece.size());
    if (m_isFinished)
        return;
    if (!run->isStream) {
        run->head.body.append(piece);
        return;
    }
    std::vector<CompleteEvent> events;
    if (!run->splitter.feed(piece, events)) {
        run == m_silentRun ? silentRunFailed(FailureKind::MalformedEvent) : runFailed(FailureKind::MalformedEvent);
        return;
    }
    if (events.empty())
        return;
    if (run == m_silentRun) {
        if (run->isBeingStopped && m_run) {
            // The stream has gone on at another engine.
            releaseSilentRun(FailureKind::Silent);
            return;
        }
        resumeSilentRun();
    }
    processEvents(*run, std::move(events));
}

void EventStreamCall::processEvents(StreamRun& run, std::vector<CompleteEvent>&& events)
{
    const auto now = m_context.now();
    const bool hadEnoughGaps = run.gaps.hasEnough();
    run.gaps.add(events.size(), now);
    // Known early, because a run lasts seconds and other prompts are placed meanwhile.
    if (!hadEnoughGaps && run.gaps.hasEnough())
        m_timing.recordEnginePace(run, now);
    noteWork(static_cast<double>(events.size() * m_timing.tokensPerEvent()));
    if (!m_answer->append(run, std::move(events))) {
        runFailed(FailureKind::WrongPosition);
        return;
    }
    m_choice->noteEvents();
    if (run.silence)
        noteSilenceEnded(run, now);
    if (m_silentRun)
        releaseSilentRun(FailureKind::Silent);
    else
        stopEndedRuns();
    run.lastActivity = now;
    run.endpoint->noteAlive(now);
    m_timing.noteEvents(now);
    if (!run.hasEvent)
        recordVersion(run);
    if (!run.hasEvent && m_failedAt)
        recordResumption(run, now);
    run.hasEvent = true;
    if (run.isFromCopy)
        copyOutcomesOf(run).noteUsed();
    if (!run.firstEventAt) {
        run.firstEventAt = now;
        m_copier->releaseUnused();
        m_endedRuns.freeMemory();
        m_timing.recordFirstEvent(run, now);
    }
    m_crashTracker.noteProducing(now - *run.firstEventAt);
    run.reading.reset();
    m_livenessMonitor->noteEvent();
    if (!m_answer->hasBegun()) {
        const auto usual = m_context.pace(m_request.service).medianTimeToFirstEvent(m_request.fields.promptTokens);
        if (!run.isFromCopy && !m_request.fields.lastEventId)
            m_versions.noteAnswerAfter(*run.endpoint, now - run.startedAt, usual);
        m_timing.recordPromptTime(run, now);
        m_wasLate = now > m_request.firstAttemptAt + m_request.route->objective && !m_request.fields.lastEventId;
        // A caller that resumes a stream was counted when it began.
        if (!m_request.fields.lastEventId)
            m_context.noteStarted(m_request.organisation, now);
        logFirstEvent(m_request, run, now);
    }
    m_answer->forwardToCaller(run.head, now);
}

CopyOutcomes& EventStreamCall::copyOutcomesOf(const StreamRun& run)
{
    auto& pace = m_context.pace(m_request.service);
    return run.delivery == 0 ? pace.copyOutcomes : pace.continuationOutcomes;
}

void EventStreamCall::recordVersion(const StreamRun& run)
{
    const auto& version = run.endpoint->entry().version;
    if (m_versions.boundVersion()) {
        m_context.metrics.countContinuation(continuationOf(m_versions.boundVersion(), version));
        return;
    }
    m_versions.bindTo(version);
    m_choice->noteVersion(run);
}

void EventStreamCall::recordResumption(const StreamRun& run, Milliseconds now)
{
    const auto lastEventAt = m_answer->lastEventAt();
    logRunResumed(m_request, run, m_versions.boundVersion(), lastEventAt, *m_failedAt, now);
    m_wasLate = m_wasLate || (lastEventAt && now - *lastEventAt > m_request.route->longestPause);
    if (lastEventAt && now > *lastEventAt)
        m_context.metrics.resumeGap.Observe(static_cast<double>((now - *lastEventAt).count()));
    (run.isFromCopy ? m_context.metrics.resumedFromCopy : m_context.metrics.resumedCold).Increment();
    m_failedAt.reset();
}

void EventStreamCall::callEnded(EndpointCall& call)
{
    const auto run = runOf(call);
    if (!run || m_isFinished)
        return;
    // An engine that stops a run closes the connection. For a response without a length that looks like its end.
    const bool mayBeStopped = !run->isFramed && mayHaveBeenStopped(*run);
    if (run == m_silentRun) {
        const bool isComplete
            = run->isStream && run->splitter.incompleteBytes().empty() && m_answer->length() > 0 && !mayBeStopped;
        if (!isComplete) {
            silentRunFailed(run->isStream ? FailureKind::EarlyEnd : FailureKind::ErrorStatus);
            return;
        }
        // The engine works on it no longer, and the answer is whole.
        resumeSilentRun();
    }
    if (!run->isStream) {
        handleNonStreamResponse(run);
        return;
    }
    if (!run->isFramed && m_mover->isStopping()) {
        m_mover->noteStreamEnded();
        return;
    }
    if (mayBeStopped) {
        runFailed(FailureKind::EarlyEnd);
        return;
    }
    // A caller that has received all events may lack the end, which only an answer with a length or chunks shows.
    const bool hasOnlyEnd = m_answer->length() == 0 && m_request.fields.lastEventId && run->isFramed;
    if (!run->splitter.incompleteBytes().empty() || (m_answer->length() == 0 && !hasOnlyEnd)) {
        runFailed(FailureKind::EarlyEnd);
        return;
    }
    if (hasOnlyEnd)
        m_answer->forwardToCaller(run->head, m_context.now());
    complete();
}

// Handles a response that is not an event stream.
void EventStreamCall::handleNonStreamResponse(const std::shared_ptr<StreamRun>& run)
{
    if (run->fields.isNotRun || run->fields.isOtherIncarnation) {
        runRejected();
        return;
    }
    const bool isError = run->head.status >= firstServerError;
    if (!run->fields.isSigned || m_answer->hasBegun() || (isError && m_request.route->mayRunAgain())) {
        runFailed(run->fields.isSigned ? FailureKind::ErrorStatus : FailureKind::MalformedEvent);
        return;
    }
    countStream(StreamOutcome::Failed);
    logEnd("endpoint-status", run->head.status);
    auto response = run->head;
    response.heldUntilSent = m_answer;
    m_request.exchange->respond(std::move(response));
    finish();
}

void EventStreamCall::runRejected()
{
    const auto run = std::exchange(m_run, nullptr);
    const auto now = m_context.now();
    m_deliveries.settle(run->delivery, DeliveryOutcome::NotRun);
    m_livenessMonitor->stop();
    m_liveSearch.reset();
    run->reading.reset();
    logRunRejected(m_request, *run);
    ++m_rejectedRuns;
    if (run->isFromCopy) {
        copyOutcomesOf(*run).noteRejected(now);
        logNotContinued(m_request, continuation::copyRejected, false, false);
    }
    if (run->fields.isOtherIncarnation) {
        m_context.directory.noteMisdirected(*run->endpoint, now);
        m_choice->noteFailed(run->endpoint);
    } else if (!run->isFromCopy) {
        run->endpoint->avoidUntil(now + m_context.settings.avoidAfterRejection);
        m_choice->noteFailed(run->endpoint);
    }
    startRun();
}

void EventStreamCall::callFailed(EndpointCall& call, FailureKind kind)
{
    const auto run = runOf(call);
    if (!run || m_isFinished)
        return;
    if (run == m_silentRun) {
        silentRunFailed(kind);
        return;
    }
    // A run that is being moved closes its stream; the response to the move request determines how to continue.
    if (m_mover->isStopping())
        m_mover->noteStreamEnded();
    else
        runFailed(kind);
}

void EventStreamCall::noteEngineFailure(const StreamRun& run, FailureKind kind, Milliseconds now)
{
    const auto& settings = m_context.settings;
    const bool wasSent = run.call->hasSent();
    const bool wasSuspect = m_crashTracker.isSuspect();
    if (wasSent)
        m_crashTracker.noteUnfinished(*run.call, m_timing.describeUnfinishedRun(run, kind, now));
    const bool isSilent = kind == FailureKind::Silent;
    run.endpoint->avoidUntil(now
        + (isSilent       ? settings.avoidAfterSilence
                : wasSent ? settings.avoidAfterBrokenAnswer
                          : settings.avoidAfterRefusal));
    const bool isUnreachable = isSilent && run.silence && !run.silence->isConnected;
    const auto shown = isUnreachable ? FailureEvidence::Unreachable : failureEvidenceOf(kind, run.call->isRefused());
    // A request that may crash endpoints says nothing about their zone.
    const auto evidence = wasSuspect ? EngineEvidence::None : evidenceOf(kind, m_livenessMonitor->hasProbeFailed());
    if (evidence == EngineEvidence::Failed && isSilent) {
        m_context.directory.noteSilence(*run.endpoint, now, shown);
    } else {
        m_context.directory.noteFailure(*run.endpoint, now, shown);
        if (evidence == EngineEvidence::Failed)
            m_context.directory.reportFailure(*run.endpoint, shown);
        else if (evidence == EngineEvidence::ConnectionBroke)
            EndpointFailureCheck::start(m_context, run.endpoint);
    }
    m_choice->noteFailed(run.endpoint);
}

void EventStreamCall::runFailed(FailureKind kind)
{
    const auto run = std::exchange(m_run, nullptr);
    const auto now = m_context.now();
    run->reading.reset();
    run->call->cancel();
    m_timing.recordEnginePace(*run, now);
    m_livenessMonitor->stop();
    m_liveSearch.reset();
    m_mover->cancel();
    logRunFailed(m_request, *run, *m_answer, kind, now);
    m_context.metrics.countFailure(kind);
    const bool mayBeStopped = isBrokenOff(kind) && mayHaveBeenStopped(*run);
    const bool awaitsAnswer = mayBeStopped && !m_silentRun;
    if (!awaitsAnswer)
        noteEnded(*run, kind);
    if (run->call->hasSent()) {
        m_deliveries.settle(run->delivery, DeliveryOutcome::MayHaveRun);
        m_versions.noteAnswer(*run->endpoint, AnswerQuality::Bad);
    } else {
        takeBackUnsent(*run);
        // It reached no engine, so it may still be used.
        m_loan = run->loan;
    }
    if (!mayBeStopped)
        noteEngineFailure(*run, kind, now);
    // The run in place of the silent one has begun, so that the silent one must not go on.
    if (m_silentRun && m_silentRun->isBeingStopped && run->headerReceivedAt)
        releaseSilentRun(FailureKind::Silent);
    if (!m_silentRun) {
        // A run's KV cache is copied from its first event on. When a run that continued from a copy is lost before
        // that, the other copies of the run before it remain.
        auto copies = m_copier->runLost(*run);
        if (run->hasEvent)
            m_choice->setCopies(std::move(copies));
        if (run->hasEvent)
            logMissingCopy();
    }
    m_failedAt = m_failedAt.value_or(now);
    if (awaitsAnswer)
        startRunAfterStop(run, now + m_context.settings.stopBusyWait);
    else
        startRun();
}

void EventStreamCall::startRunAfterStop(const std::shared_ptr<StreamRun>& run, Milliseconds latest)
{
    if (m_endedRuns.hasAnsweredStop(*run->endpoint) || m_context.now() >= latest) {
        if (!m_endedRuns.stoppedRun())
            noteEnded(*run, FailureKind::ConnectionLost);
        startRun();
        return;
    }
    m_retryTimer.expires_after(m_context.settings.stopCheckInterval);
    m_retryTimer.async_wait([weak = weak_from_this(), run, latest](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished && !self->m_run)
            self->startRunAfterStop(run, latest);
    });
}

bool EventStreamCall::isKept(
    const std::shared_ptr<RelayEndpoint>& engine, const std::optional<RunMemorySource>& copy) const
{
    const auto stopped = m_endedRuns.stoppedRun();
    return copy && stopped && stopped->engine == engine && stopped->copy.name == copy->name;
}

bool EventStreamCall::mayHaveBeenStopped(const StreamRun& run) const
{
    return run.wasAskedToStop && m_endedRuns.mayHaveStopped(*run.endpoint);
}

void EventStreamCall::silentRunFailed(FailureKind kind)
{
    const auto run = m_silentRun;
    const auto now = m_context.now();
    if (run->fields.isNotRun || run->fields.isOtherIncarnation) {
        m_deliveries.settle(run->delivery, DeliveryOutcome::NotRun);
    } else {
        m_deliveries.settle(run->delivery, DeliveryOutcome::MayHaveRun);
        if (!isBrokenOff(kind) || !mayHaveBeenStopped(*run))
            noteEngineFailure(*run, kind, now);
    }
    if (run->fields.isOtherIncarnation)
        m_context.directory.noteMisdirected(*run->endpoint, now);
    releaseSilentRun(kind);
    // Without a run in its place, the next one is being prepared or searched.
    if (!m_run && !m_permit && !m_loanRequest && !m_waitsForStopSince)
        startRun();
}

void EventStreamCall::runStalled(const RunSilence& silence)
{
    const auto now = m_context.now();
    const bool isFirstReport = !m_run->silence;
    if (isFirstReport) {
        m_run->silence = silence;
        logRunSilent(m_request, *m_run, *m_answer, silence, now);
        noteEngineFailure(*m_run, FailureKind::Silent, now);
    }
    searchSubstitute(silence, isFirstReport);
}

void EventStreamCall::searchSubstitute(const RunSilence& silence, bool isFirstSearch)
{
    if (m_liveSearch
        || decideAttempt(m_crashTracker.attemptState(m_deliveries.possibleRuns())) != AttemptDecision::Allowed
        || m_versions.isBoundVersionGone())
        return;
    LiveEngineSearch::Engines engines;
    // The probe that led to the first search has just remained unanswered.
    const bool mayBeAwake = !isFirstSearch && silence.reason == SilenceReason::NoAnswer && !m_run->call->mayHang();
    if (mayBeAwake)
        engines.push_back(m_run->endpoint);
    if (m_run->hasEvent)
        m_choice->setCopies(m_copier->copiesOf(*m_run));
    const auto copy = areCopiesExpected() ? copyTarget() : std::nullopt;
    if (copy)
        engines.push_back(copy->engine);
    for (auto& engine : m_choice->substitutes(m_run->endpoint, m_context.settings.substituteCandidates))
        engines.push_back(std::move(engine));
    m_liveSearch = LiveEngineSearch::start(
        m_context, engines, [weak = weak_from_this(), engines, copy, mayBeAwake](std::optional<std::size_t> found) {
            const auto self = weak.lock();
            if (!self || self->m_isFinished)
                return;
            self->m_liveSearch.reset();
            if (!found || !self->m_run)
                return;
            const auto& engine = engines[*found];
            if (mayBeAwake && *found == 0) {
                self->m_run->answeredAgainAt = self->m_context.now();
                self->m_run->silence.reset();
                return;
            }
            const bool isFromCopy = copy && engine == copy->engine;
            self->startSubstitute(engine, isFromCopy ? std::optional(copy->copy) : std::nullopt);
        });
}

void EventStreamCall::startSubstitute(const std::shared_ptr<RelayEndpoint>& engine, std::optional<RunMemorySource> copy)
{
    // The engine has stopped the run to move it.
    if (m_run->call->isOver()) {
        runFailed(FailureKind::ConnectionLost);
        return;
    }
    m_livenessMonitor->stop();
    m_mover->cancel();
    if (m_silentRun && m_silentRun->isBeingStopped)
        releaseSilentRun(FailureKind::Silent);
    if (m_silentRun)
        cancelSubstitute();
    else
        m_silentRun = std::exchange(m_run, nullptr);
    if (!m_failedAt) {
        m_failedAt = m_context.now();
        m_isFailureSilence = true;
    }
    if (!copy && m_silentRun->hasEvent)
        logMissingCopy();
    startRunIfAllowed(engine, std::move(copy));
}

void EventStreamCall::cancelSubstitute()
{
    m_liveSearch.reset();
    m_choice->cancel();
    m_permit.reset();
    m_loanRequest.reset();
    m_retryTimer.cancel();
    m_stopTimer.cancel();
    m_waitsForStopSince.reset();
    m_livenessMonitor->stop();
    const auto run = std::exchange(m_run, nullptr);
    if (!run) {
        if (std::exchange(m_tookRetryForNextRun, false))
            m_context.retryBudget(m_request.service).giveBack();
        return;
    }
    run->reading.reset();
    run->call->cancel();
    logSubstituteEnded(m_request, *run, m_context.now());
    if (!run->call->hasSent()) {
        takeBackUnsent(*run);
        return;
    }
    noteEnded(*run, FailureKind::Silent);
}

void EventStreamCall::takeBackUnsent(const StreamRun& run)
{
    m_deliveries.settle(run.delivery, DeliveryOutcome::Unsent);
    if (run.tookRetry)
        m_context.retryBudget(m_request.service).giveBack();
}

void EventStreamCall::returnToSilentRun()
{
    m_run = std::exchange(m_silentRun, nullptr);
    m_run->number = m_answer->beginRun();
    m_run->isBeingStopped = false;
    m_stoppedRunTimer.cancel();
    if (std::exchange(m_isFailureSilence, false))
        m_failedAt.reset();
    m_livenessMonitor->begin(m_run);
    stopEndedRuns();
    // The stream continues from its own run again, and not from that of a substitute.
    m_endedRuns.returnTo(*m_run->endpoint);
}

void EventStreamCall::resumeSilentRun()
{
    cancelSubstitute();
    noteSilenceEnded(*m_silentRun, m_context.now());
    returnToSilentRun();
    m_choice->noteLocation(*m_run);
}

void EventStreamCall::releaseSilentRun(FailureKind kind)
{
    const auto run = std::exchange(m_silentRun, nullptr);
    const auto now = m_context.now();
    logRunFailed(m_request, *run, *m_answer, kind, now);
    m_context.metrics.countFailure(kind);
    m_versions.noteAnswer(*run->endpoint, AnswerQuality::Bad);
    run->reading.reset();
    run->call->cancel();
    m_timing.recordEnginePace(*run, now);
    m_isFailureSilence = false;
    m_stoppedRunTimer.cancel();
    if (!run->isBeingStopped) {
        m_copier->runLost(*run);
        noteEnded(*run, kind);
    }
    stopEndedRuns();
}

void EventStreamCall::releaseStoppedRunLater()
{
    m_stoppedRunTimer.expires_after(keepStoppedRunFor);
    m_stoppedRunTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished && self->m_silentRun && self->m_silentRun->isBeingStopped)
            self->releaseSilentRun(FailureKind::Silent);
    });
}

void EventStreamCall::noteSilenceEnded(StreamRun& run, Milliseconds now)
{
    logSilenceEnded(m_request, run, m_silentRun != nullptr, now);
    m_context.metrics.silencesEnded.Increment();
    const auto lastEventAt = m_answer->lastEventAt();
    m_wasLate = m_wasLate || (lastEventAt && now - *lastEventAt > m_request.route->longestPause);
    run.silence.reset();
    m_liveSearch.reset();
}

void EventStreamCall::considerMove()
{
    if (m_silentRun)
        return;
    const auto expectedTimeLeft = m_answer->expectedTimeLeft(m_timing.maxEvents(), m_context.now());
    if (m_copier->isEnabledFor(*m_run)) {
        m_copier->consider(*m_run, expectedTimeLeft, m_choice->failed());
        return;
    }
    const bool hasAttemptLeft = m_deliveries.possibleRuns() + 1 < m_request.route->maxAttempts;
    m_mover->consider(*m_run, { hasAttemptLeft, expectedTimeLeft }, m_choice->failed());
}

void EventStreamCall::moveFinished(const RunMove& move)
{
    logRunMoved(m_request, move, *m_answer);
    const bool isMoving = m_run && (move.result == RelocationResult::Moved || move.result == RelocationResult::Stopped);
    if (!isMoving)
        m_context.retryBudget(m_request.service).giveBack();
    if (move.result == RelocationResult::Refused || !m_run)
        return;
    if (move.result == RelocationResult::Unknown) {
        runFailed(FailureKind::ConnectionLost);
        return;
    }
    m_liveSearch.reset();
    m_run->call->cancel();
    m_timing.recordEnginePace(*m_run, m_context.now());
    m_copier->end();
    m_run.reset();
    m_livenessMonitor->stop();
    m_failedAt = m_context.now();
    m_tookRetryForNextRun = true;
    const bool isMoved = move.result == RelocationResult::Moved;
    startRunAt(isMoved ? move.target : move.source, RunMemorySource { move.source->entry().address, move.handle });
}

void EventStreamCall::timedOut()
{
    if (m_isFinished)
        return;
    if (!m_run)
        logLostRunEnds(continuation::noEngine);
    endStream(m_deliveries.possibleRuns() > 0 ? RefusalReason::TimedOut : RefusalReason::TimedOutUnsent);
}

void EventStreamCall::complete()
{
    m_answer->complete();
    m_choice->forgetLocation();
    m_crashTracker.noteHarmless();
    m_timing.recordEnginePace(*m_run, m_context.now());
    m_timing.recordCompleteAnswer(m_answer->lastEventId(), m_answer->length(), m_answer->duration());
    countStream(m_wasLate ? StreamOutcome::Late : StreamOutcome::InTime);
    logEnd("complete", m_run->head.status);
    m_request.exchange->wake();
    finish();
}

void EventStreamCall::giveUp(RefusalReason reason)
{
    if (m_silentRun)
        returnToSilentRun();
    else
        endStream(reason);
}

void EventStreamCall::endStream(RefusalReason reason)
{
    if (!m_answer->hasBegun()) {
        refuse(reason);
        return;
    }
    countStream(StreamOutcome::Failed);
    logEnd(traitsOf(reason).name, 0);
    m_request.exchange->abort();
    finish();
}

void EventStreamCall::logLostRunEnds(std::string_view reason) const
{
    if (!m_failedAt)
        return;
    logNotContinued(m_request, reason, !m_silentRun, m_choice->copyTarget().has_value());
    if (!m_silentRun && m_answer->hasBegun())
        m_context.metrics.countBrokenOff(reason);
}

void EventStreamCall::logMissingCopy() const
{
    if (!m_choice->copyTarget())
        logNotContinued(m_request, continuation::copyGone, false, false);
}

void EventStreamCall::refuse(RefusalReason reason)
{
    countStream(traitsOf(reason).isNotRun ? StreamOutcome::Refused : StreamOutcome::Failed);
    logEnd(traitsOf(reason).name, traitsOf(reason).status);
    std::optional<Milliseconds> retryDelay;
    const auto spread = fractionOfName(m_request.fields.requestId);
    // A retry with the same time left would fail as well.
    if (reason == RefusalReason::TooLittleTime || reason == RefusalReason::VersionGone)
        retryDelay = std::max(m_request.deadline - m_context.now(), m_context.settings.retryAfter);
    if (reason == RefusalReason::TooLittleTime && m_request.rank.isNamed)
        retryDelay = std::max(*retryDelay, m_context.pace(m_request.service).engineRoomAt - m_context.now());
    if (reason == RefusalReason::HeldInQuarantine)
        retryDelay = m_context.crashGuard.quarantineTimeLeft(m_request.digest);
    if (const auto availability = isUnavailabilityRefusal(reason) ? m_choice->nextAvailability() : std::nullopt)
        retryDelay = retryDelayUntilAvailable(*availability, spread, m_context.now(), m_request.rank);
    if (!retryDelay && m_request.rank.isNamed)
        retryDelay = rankedDelay(m_request.rank, m_context.settings.retryAfter, spread);
    m_request.exchange->respond(refusal(m_context, reason, retryDelay));
    finish();
}

void EventStreamCall::countStream(StreamOutcome outcome) const
{
    const auto& rank = m_request.rank;
    m_context.metrics.countStream(rank.isNamed ? std::optional(rank.value) : std::nullopt, outcome);
}

void EventStreamCall::logEnd(std::string_view outcome, unsigned status)
{
    const auto took = m_context.now() - m_request.admittedAt;
    logStreamDone(m_request, *m_answer, outcome, status, m_attempts, took);
    m_context.metrics.countRequest(m_request.route->kind, status, took);
}

void EventStreamCall::finish()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_openCalls->remove(*this);
    m_crashTracker.end();
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    m_stopTimer.cancel();
    m_stoppedRunTimer.cancel();
    m_livenessMonitor->stop();
    m_choice->cancel();
    m_search.reset();
    m_permit.reset();
    m_loanRequest.reset();
    m_liveSearch.reset();
    m_mover->cancel();
    for (const auto& run : { std::exchange(m_run, nullptr), std::exchange(m_silentRun, nullptr) }) {
        if (!run)
            continue;
        run->call->cancel();
        // The close of a connection from which nothing arrives may not reach the engine.
        if (run->silence && !run->isBeingStopped)
            noteEnded(*run, FailureKind::Silent);
    }
    m_endedRuns.stopAllBut({}, "");
    m_endedRuns.freeMemory();
    m_copier->end();
}

} // namespace lupinknot::internal
