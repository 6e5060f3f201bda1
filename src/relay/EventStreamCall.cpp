#include "relay/EventStreamCall.h"

#include "common/EventLog.h"
#include "http/HttpBodySource.h"
#include "relay/EndpointDirectory.h"
#include "relay/EngineForecast.h"
#include "relay/EngineSurvey.h"
#include "relay/PermitWait.h"
#include "relay/Placement.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"
#include "relay/RunCopy.h"
#include "relay/RunLocations.h"
#include "relay/RunRelocation.h"
#include "relay/RunWatch.h"

#include <algorithm>
#include <limits>

namespace lupinknot::internal {

namespace {

constexpr unsigned okStatus = 200;
constexpr unsigned firstServerError = 500;

} // namespace

// Hands the events on to the caller's connection as it takes them.
class EventStreamCall::EventSource final : public HttpBodySource {
public:
    explicit EventSource(const EventStreamCall& call)
        : m_call(call.shared_from_this())
    {
    }

    HttpBodyPiece next() override
    {
        HttpBodyPiece piece;
        const auto& events = m_call->m_events.tokens();
        for (; m_handedOn < events.size(); ++m_handedOn)
            piece.bytes.append(events[m_handedOn].text);
        piece.isLast = m_call->m_isComplete;
        return piece;
    }

private:
    const std::shared_ptr<const EventStreamCall> m_call;
    std::size_t m_handedOn { 0 };
};

void EventStreamCall::serve(RelayContext& context, RelayRequest request)
{
    const std::shared_ptr<EventStreamCall> call(new EventStreamCall(context, std::move(request)));
    call->begin();
}

EventStreamCall::EventStreamCall(RelayContext& context, RelayRequest request)
    : m_context(context)
    , m_request(std::move(request))
    , m_pace(m_context, m_request)
    , m_rollout(m_context, m_request)
    , m_crashWatch(m_context, m_request)
    , m_events({ .maxTokens = std::numeric_limits<std::size_t>::max(), .stops = {} })
    , m_deadlineTimer(context.ioContext)
    , m_retryTimer(context.ioContext)
{
}

EventStreamCall::~EventStreamCall() = default;

void EventStreamCall::begin()
{
    // Weak, because the watch's own timer may outlive this call by a turn.
    const auto guarded = [weak = weak_from_this()](void (EventStreamCall::*action)()) {
        return [weak, action] {
            if (const auto self = weak.lock(); self && !self->m_isFinished)
                (self.get()->*action)();
        };
    };
    m_watch = RunWatch::make(
        m_context, m_request, { guarded(&EventStreamCall::runSilent), guarded(&EventStreamCall::considerRelocation) });
    m_crashWatch.begin(guarded(&EventStreamCall::heldMeanwhile));
    m_deadlineTimer.expires_after(m_request.deadline - m_context.now());
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->timedOut();
    });
    m_request.exchange->onGone([self = shared_from_this()] {
        if (self->m_isFinished)
            return;
        LogEvent("request.caller-gone").text("request", self->m_request.fields.requestId).write();
        self->finish();
    });
    if (m_request.fields.lastEventId && !m_request.fields.promptId.empty() && runLocations())
        findEarlierRun();
    else
        startRun();
}

RunLocations* EventStreamCall::runLocations() const
{
    return m_context.has(Policy::LocationHints) ? m_context.runLocations : nullptr;
}

// The caller has come back behind an event: another VM may have served it, and an engine has read its prompt.
void EventStreamCall::findEarlierRun()
{
    runLocations()->find(
        m_request.fields.promptId, [weak = weak_from_this()](const std::optional<RunLocation>& location) {
            const auto self = weak.lock();
            if (self && !self->m_isFinished)
                self->earlierRunFound(location);
        });
}

void EventStreamCall::earlierRunFound(const std::optional<RunLocation>& location)
{
    if (location) {
        m_earlierEngine = m_context.directory.find(location->endpointId);
        m_copyHolder = m_context.directory.find(location->copyHolderId);
        if (!m_copyHolder || m_copyHolder->isRemoved())
            m_copyHolder = m_context.directory.findAt(m_request.service, location->copyHolderAddress);
        m_copyName = location->requestId;
    }
    LogEvent("stream.returned")
        .text("request", m_request.fields.requestId)
        .text("earlier_request", m_copyName)
        .text("earlier_endpoint", location ? location->endpointId : "")
        .flag("is_engine_known", m_earlierEngine != nullptr)
        .flag("is_copy_known", m_copyHolder != nullptr)
        .write();
    startRun();
}

bool EventStreamCall::isSound(const RelayEndpoint& endpoint) const
{
    const auto now = m_context.now();
    return !endpoint.isLeaving() && !endpoint.isAvoided(now) && !endpoint.isResting(now)
        && now >= endpoint.noPermitUntil() && !m_context.directory.isZoneAvoided(endpoint.entry().availabilityZone, now)
        && !m_context.directory.isDoubtful(endpoint, now);
}

bool EventStreamCall::mayStartRun()
{
    if (m_possibleRuns >= m_request.route->maxAttempts || (m_possibleRuns > 0 && !m_request.route->mayRunAgain())) {
        giveUp(RefusalReason::EndpointFailed);
        return false;
    }
    m_isNextCharged = m_arrivals > 0;
    if (m_isNextCharged
        && !m_context.retryBudget(m_request.service)
                .take(RetryPurpose::Rescue, m_request.admittedAt, m_context.now())) {
        giveUp(m_possibleRuns > 0 ? RefusalReason::EndpointFailed : RefusalReason::RetryBudgetSpent);
        return false;
    }
    return true;
}

bool EventStreamCall::isSendable()
{
    const auto standing = m_crashWatch.standing();
    if (standing == Standing::Held)
        held();
    else if (standing == Standing::UnderJudgement)
        startRunLater();
    return standing == Standing::Free;
}

void EventStreamCall::held() { giveUp(m_possibleRuns > 0 ? RefusalReason::EndedEndpoints : RefusalReason::HeldBack); }

// A run that makes events does not end its engine, whatever others of the same request have done.
void EventStreamCall::heldMeanwhile()
{
    if (!m_run || !m_run->hasEvent)
        held();
}

void EventStreamCall::startRun()
{
    if (!isSendable())
        return;
    if (const auto holder = soundCopyHolder()) {
        if (mayStartRun())
            startRunAt(holder, CopySource { holder->entry().address, m_copyName });
        return;
    }
    const auto earlier = std::exchange(m_earlierEngine, nullptr);
    const bool isPromptKept = earlier && isSound(*earlier) && m_rollout.next().admits(earlier->entry().version);
    if (m_possibleRuns == 0 && m_context.has(Policy::TimeCheck) && m_pace.lacksTime(lastEventId(), isPromptKept)) {
        giveUp(RefusalReason::TooLittleTime);
        return;
    }
    if (isPromptKept) {
        if (mayStartRun())
            startRunAt(earlier, std::nullopt);
        return;
    }
    const auto wanted = wantedPlacement();
    if (survey(wanted))
        return;
    const auto now = m_context.now();
    auto endpoint = m_context.placement.choose(wanted, now);
    if (!endpoint && !m_failed.empty())
        endpoint = m_context.placement.choose(
            { .service = m_request.service, .version = m_rollout.next(), .mustBeSound = true }, now);
    if (!endpoint) {
        waitForEndpoint();
        return;
    }
    if (mayStartRun())
        startRunAt(endpoint, std::nullopt);
}

PlacementRequest EventStreamCall::wantedPlacement()
{
    const auto& settings = m_context.settings;
    PlacementRequest wanted { .service = m_request.service, .excluded = m_failed, .version = m_rollout.next() };
    if (!m_failed.empty())
        wanted.zonesToLeave.push_back(m_failed.back()->entry().availabilityZone);
    if (m_context.has(Policy::PromptPreference))
        wanted.promptId = m_request.fields.promptId;
    wanted.preference = m_request.fields.lastEventId ? settings.returningPreference : settings.promptPreference;
    return wanted;
}

bool EventStreamCall::survey(const PlacementRequest& wanted)
{
    const auto* service = m_context.configuration->findService(m_request.service);
    // An engine that may have kept the prompt is better than any other.
    if (!m_context.has(Policy::LoadSurvey) || !service || !service->isEngine || m_request.fields.lastEventId)
        return false;
    // A question may count as a request at an engine that takes only so many.
    auto sound = wanted;
    sound.mustBeSound = true;
    sound.limited = LimitedEndpoints::LeftOut;
    const auto engines = m_context.placement.candidates(sound, m_context.settings.surveySize, m_context.now());
    if (engines.size() < 2)
        return false;
    m_survey
        = EngineSurvey::start(m_context, engines, [weak = weak_from_this()](const EngineSurvey::Engines& answered) {
              const auto self = weak.lock();
              if (self && !self->m_isFinished)
                  self->surveyed(answered);
          });
    return true;
}

void EventStreamCall::surveyed(const std::vector<std::shared_ptr<RelayEndpoint>>& answered)
{
    m_survey.reset();
    const EngineWork work { m_request.fields.promptTokens, m_request.fields.maxAnswerTokens };
    const auto pace = m_context.pace(m_request.service).engine();
    const auto now = m_context.now();
    auto engine = m_context.placement.chooseReported(answered, work, pace, now);
    if (!engine)
        engine = m_context.placement.choose(wantedPlacement(), now);
    if (!engine) {
        waitForEndpoint();
        return;
    }
    if (!mayStartRun())
        return;
    logChoice(*engine, answered.size(), forecastDelay(work, *engine, pace));
    startRunAt(engine, std::nullopt);
}

void EventStreamCall::logChoice(const RelayEndpoint& engine, std::size_t answered, Milliseconds forecast) const
{
    const auto report = engine.report() ? *engine.report() : EngineReport {};
    LogEvent("stream.engine-chosen", LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("endpoint", engine.entry().id)
        .number("answered", static_cast<std::int64_t>(answered))
        .number("forecast_ms", forecast.count())
        .number("being_read", report.promptsBeingRead)
        .number("waiting", report.promptsWaiting)
        .number("generating", report.generating)
        .number("memory_used", static_cast<std::int64_t>(report.memoryUsed))
        .number("own_being_read", engine.promptsBeingRead())
        .write();
}

std::shared_ptr<RelayEndpoint> EventStreamCall::soundCopyHolder()
{
    const bool isUsable
        = m_copyHolder && isSound(*m_copyHolder) && m_rollout.next().admits(m_copyHolder->entry().version);
    return isUsable ? m_copyHolder : nullptr;
}

std::shared_ptr<RelayEndpoint> EventStreamCall::chooseCopyHolder(const RelayEndpoint& engine)
{
    const auto* service = m_context.configuration->findService(m_request.service);
    if (!m_context.has(Policy::GrowingCopies) || !service || !service->copiesRunningMemory
        || !m_request.route->mayRunAgain())
        return nullptr;
    const PlacementRequest wanted { .service = m_request.service,
        .excluded = m_failed,
        .zonesToLeave = { engine.entry().availabilityZone },
        .version = m_rollout.forCopies(engine),
        .mustBeSound = true,
        .limited = LimitedEndpoints::NotSent };
    return m_context.placement.choose(wanted, m_context.now());
}

void EventStreamCall::startRunAt(const std::shared_ptr<RelayEndpoint>& endpoint, std::optional<CopySource> copy)
{
    if (!endpoint->isLimited()) {
        sendTo(endpoint, std::move(copy));
        return;
    }
    const auto patience = patienceForPermit(copy.has_value());
    m_permit = PermitWait::start(
        m_context, endpoint, patience, [weak = weak_from_this(), endpoint, copy = std::move(copy)](bool isGranted) {
            const auto self = weak.lock();
            if (!self || self->m_isFinished)
                return;
            self->m_permit.reset();
            if (isGranted) {
                self->sendTo(endpoint, copy);
                return;
            }
            if (std::exchange(self->m_isNextCharged, false))
                self->m_context.retryBudget(self->m_request.service).giveBack();
            self->startRun();
        });
}

Milliseconds EventStreamCall::patienceForPermit(bool isFromCopy)
{
    // A copy saves the prompt from being read again, which takes longer than this pause.
    if (isFromCopy)
        return m_request.route->longestPause / 2;
    const auto now = m_context.now();
    auto other = wantedPlacement();
    other.mustBeSound = true;
    other.limited = LimitedEndpoints::LeftOut;
    if (m_context.placement.choose(other, now))
        return Milliseconds { 0 };
    return std::max(m_request.admittedAt + m_context.settings.waitForEndpoint - now, Milliseconds { 0 });
}

std::optional<EndpointOpening> EventStreamCall::nextOpening()
{
    return m_context.placement.nextOpening(
        { .service = m_request.service, .version = m_rollout.next() }, m_context.now());
}

void EventStreamCall::sendTo(const std::shared_ptr<RelayEndpoint>& endpoint, std::optional<CopySource> copy)
{
    const auto now = m_context.now();
    const auto& exchange = m_request.exchange;
    auto run = std::make_shared<StreamRun>();
    run->number = m_events.beginAttempt();
    run->endpoint = endpoint;
    run->copyHolder = chooseCopyHolder(*endpoint);
    run->startedAt = now;
    run->lastActivity = now;
    run->isFromCopy = copy.has_value();
    run->isCharged = std::exchange(m_isNextCharged, false);

    ForwardFields fields;
    fields.timeLeft = m_request.deadline - now;
    fields.endpointId = endpoint->entry().id;
    fields.organisation = m_request.organisation;
    if (m_request.fields.lastEventId || m_events.length() > 0)
        fields.lastEventId = lastEventId();
    if (run->copyHolder)
        fields.copyTo = run->copyHolder->entry().address;
    fields.continueFrom = std::move(copy);
    m_copyHolder.reset();

    LogEvent("stream.sent", m_sendings > 0 ? LogImportance::Notable : LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("endpoint", endpoint->entry().id)
        .text("zone", endpoint->entry().availabilityZone)
        .text("copy_to", run->copyHolder ? run->copyHolder->entry().id : "")
        .flag("from_copy", run->isFromCopy)
        .number("run", run->number)
        .number("after_event", static_cast<std::int64_t>(lastEventId()))
        .number("in_flight", endpoint->inFlight())
        .flag("avoided", endpoint->isAvoided(now))
        .number("config_version", static_cast<std::int64_t>(m_request.configurationVersion))
        .write();
    m_rollout.noteSent();
    ++m_sendings;
    ++m_arrivals;
    ++m_possibleRuns;
    if (!run->isFromCopy)
        run->reading = std::make_unique<ReadingMark>(endpoint);
    m_run = run;
    noteLocation();
    const auto request = m_context.protocol.encodeForward(exchange->request(), fields);
    run->call = EndpointCall::start(
        m_context, endpoint, request, { m_request.fields.requestId, m_context.settings.maxRest }, weak_from_this());
    m_watch->begin(m_run);
}

void EventStreamCall::noteLocation()
{
    if (runLocations() && !m_request.fields.promptId.empty() && m_request.route->mayRunAgain())
        runLocations()->note(m_request.fields.promptId,
            { m_run->endpoint->entry().id, m_run->copyHolder ? m_run->copyHolder->entry().id : "",
                m_request.fields.requestId,
                m_run->copyHolder ? m_run->copyHolder->entry().address : SocketAddress {} });
}

void EventStreamCall::waitForEndpoint()
{
    const auto now = m_context.now();
    const auto opening = nextOpening();
    const auto waitsUntil = m_request.admittedAt + m_context.settings.waitForEndpoint;
    if (m_events.length() == 0 && m_possibleRuns == 0 && opening && opening->at > waitsUntil) {
        giveUp(opening->isAfterRest ? RefusalReason::EndpointsResting : RefusalReason::EndpointsLimited);
        return;
    }
    if (m_events.length() == 0 && now >= waitsUntil) {
        giveUp(m_possibleRuns > 0 ? RefusalReason::EndpointFailed : RefusalReason::NoEndpoint);
        return;
    }
    startRunLater();
}

void EventStreamCall::startRunLater()
{
    m_retryTimer.expires_after(m_context.settings.endpointRetryInterval);
    m_retryTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->startRun();
    });
}

void EventStreamCall::callHead(EndpointCall& call, const HttpResponse& head, const AnswerFields& fields)
{
    if (!m_run || m_run->call.get() != &call)
        return;
    m_run->begunAt = m_context.now();
    m_run->head.status = head.status;
    m_run->head.headers = head.headers.endToEnd();
    m_run->fields = fields;
    m_run->isFramed = head.headers.find("Transfer-Encoding") || head.headers.find("Content-Length");
    m_run->isStream = head.status == okStatus && fields.isSigned;
    m_run->endpoint->noteLife(m_context.now());
}

void EventStreamCall::callBody(EndpointCall& call, std::string_view piece)
{
    const auto run = m_run;
    if (!run || run->call.get() != &call)
        return;
    if (!run->isStream) {
        run->head.body.append(piece);
        return;
    }
    std::vector<WholeEvent> events;
    if (!run->splitter.feed(piece, events)) {
        runLost(FailureKind::MalformedEvent);
        return;
    }
    if (!events.empty())
        takeEvents(*run, std::move(events));
}

void EventStreamCall::takeEvents(StreamRun& run, std::vector<WholeEvent>&& events)
{
    const auto now = m_context.now();
    const auto firstId = m_request.fields.lastEventId.value_or(0) + 1;
    for (auto& event : events) {
        const auto position = static_cast<std::size_t>(event.id - firstId);
        Token token { static_cast<TokenId>(position), std::move(event.bytes) };
        if (m_events.append(run.number, position, std::move(token)) != AppendResult::Appended) {
            LogEvent("stream.wrong-event")
                .text("request", m_request.fields.requestId)
                .text("endpoint", run.endpoint->entry().id)
                .number("expected", static_cast<std::int64_t>(lastEventId() + 1))
                .number("came", static_cast<std::int64_t>(event.id))
                .write();
            runLost(FailureKind::WrongPosition);
            return;
        }
    }
    run.lastActivity = now;
    run.endpoint->noteLife(now);
    if (!run.hasEvent && m_lossAt)
        noteResumed(run, now);
    run.hasEvent = true;
    if (!run.firstEventAt) {
        run.firstEventAt = now;
        const auto lead = std::max(now - run.begunAt.value_or(now), Milliseconds { 1 });
        m_context.pace(m_request.service).headLead.add(static_cast<double>(lead.count()), now);
    }
    m_crashWatch.noteProducing(now - *run.firstEventAt);
    run.reading.reset();
    m_lastEventAt = now;
    m_watch->noteEvent();
    if (!m_isHeadSent) {
        m_isHeadSent = true;
        m_firstEventAt = now;
        noteFirstEventTime(run, now);
        LogEvent("stream.first-event", LogImportance::Routine)
            .text("request", m_request.fields.requestId)
            .text("endpoint", run.endpoint->entry().id)
            .number("since_admitted_ms", (now - m_request.admittedAt).count())
            .number("since_sent_ms", (now - run.startedAt).count())
            .flag("returned", m_request.fields.lastEventId.has_value())
            .write();
        m_request.exchange->stream(run.head, std::make_shared<EventSource>(*this));
    }
    m_request.exchange->wake();
}

void EventStreamCall::noteFirstEventTime(const StreamRun& run, Milliseconds now)
{
    const auto usual = m_context.pace(m_request.service).usualFirstEvent(m_request.fields.promptTokens);
    if (!run.isFromCopy && !m_request.fields.lastEventId)
        m_rollout.noteAnswerAfter(*run.endpoint, now - run.startedAt, usual);
    m_pace.notePromptRead(run, now);
}

void EventStreamCall::noteResumed(const StreamRun& run, Milliseconds now)
{
    const auto gap = m_lastEventAt.count() ? now - m_lastEventAt : Milliseconds { 0 };
    LogEvent("stream.resumed")
        .text("request", m_request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .flag("from_copy", run.isFromCopy)
        .number("pause_ms", gap.count())
        .number("detection_ms", m_lastEventAt.count() ? (*m_lossAt - m_lastEventAt).count() : 0)
        .number("since_loss_ms", (now - *m_lossAt).count())
        .write();
    if (gap.count())
        m_context.metrics.resumeGap.Observe(static_cast<double>(gap.count()));
    (run.isFromCopy ? m_context.metrics.resumedFromCopy : m_context.metrics.resumedCold).Increment();
    m_lossAt.reset();
}

void EventStreamCall::callEnded(EndpointCall& call)
{
    const auto run = m_run;
    if (!run || run->call.get() != &call || m_isFinished)
        return;
    if (!run->isStream) {
        settleWholeAnswer(run);
        return;
    }
    // A run that is stopped to be moved closes its connection, which ends an unframed answer without being its end.
    if (!run->isFramed && m_relocation && m_relocation->isStopping())
        return;
    if (!run->splitter.rest().empty() || m_events.length() == 0) {
        runLost(FailureKind::EarlyEnd);
        return;
    }
    complete();
}

// The engine answered with something other than a stream.
void EventStreamCall::settleWholeAnswer(const std::shared_ptr<StreamRun>& run)
{
    if (run->fields.isNotRun || run->fields.isOtherEndpoint) {
        turnedAway();
        return;
    }
    const bool isError = run->head.status >= firstServerError;
    if (!run->fields.isSigned || m_isHeadSent || (isError && m_request.route->mayRunAgain())) {
        runLost(run->fields.isSigned ? FailureKind::ErrorStatus : FailureKind::MalformedEvent);
        return;
    }
    logEnd("endpoint-status", run->head.status);
    m_request.exchange->respond(run->head);
    finish();
}

void EventStreamCall::turnedAway()
{
    const auto run = std::exchange(m_run, nullptr);
    const auto now = m_context.now();
    --m_possibleRuns;
    m_watch->stop();
    run->reading.reset();
    LogEvent("stream.turned-away")
        .text("request", m_request.fields.requestId)
        .text("endpoint", run->endpoint->entry().id)
        .flag("from_copy", run->isFromCopy)
        .number("status", run->head.status)
        .number("retry_after_ms", run->fields.rest.time.value_or(Milliseconds { -1 }).count())
        .flag("leaving", run->fields.isLeaving)
        .write();
    if (run->fields.isOtherEndpoint) {
        m_context.directory.remove(run->endpoint->entry().id, now);
        m_failed.push_back(run->endpoint);
    } else if (!run->isFromCopy) {
        run->endpoint->avoidUntil(now + m_context.settings.avoidAfterShed);
        m_failed.push_back(run->endpoint);
    }
    startRun();
}

void EventStreamCall::callFailed(EndpointCall& call, FailureKind kind)
{
    if (!m_run || m_run->call.get() != &call || m_isFinished)
        return;
    // A run that is being moved ends its stream; the answer to the move says how to go on.
    if (m_relocation && m_relocation->isStopping())
        return;
    runLost(kind);
}

void EventStreamCall::runLost(FailureKind kind)
{
    const auto run = std::exchange(m_run, nullptr);
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    const bool wasSent = run->call->hasSent();
    run->reading.reset();
    run->call->cancel();
    m_watch->stop();
    dropRelocation();
    LogEvent("stream.run-lost")
        .text("request", m_request.fields.requestId)
        .text("endpoint", run->endpoint->entry().id)
        .text("zone", run->endpoint->entry().availabilityZone)
        .text("failure", traitsOf(kind).name)
        .flag("sent", wasSent)
        .number("run", run->number)
        .number("last_event", static_cast<std::int64_t>(lastEventId()))
        .number("silent_ms", (now - run->lastActivity).count())
        .number("run_ms", (now - run->startedAt).count())
        .number("begun_ms", run->begunAt ? (now - *run->begunAt).count() : -1)
        .write();
    m_context.metrics.countFailure(kind);
    if (wasSent) {
        m_rollout.noteAnswer(*run->endpoint, AnswerQuality::Bad);
        noteUnfinished(*run, kind, now);
    } else {
        --m_possibleRuns;
        --m_arrivals;
        if (run->isCharged)
            m_context.retryBudget(m_request.service).giveBack();
    }
    const bool isSilent = kind == FailureKind::Silent;
    run->endpoint->avoidUntil(now
        + (isSilent       ? settings.avoidAfterSilence
                : wasSent ? settings.avoidAfterBreak
                          : settings.avoidAfterRefusal));
    m_context.directory.noteFailure(*run->endpoint, now);
    m_failed.push_back(run->endpoint);
    // A run is copied from its first event on: before it there is nothing to ask for.
    m_copyHolder = run->hasEvent ? copyHolderOf(*run, m_context.directory) : nullptr;
    m_copyName = m_request.fields.requestId;
    if (!m_lossAt)
        m_lossAt = now;
    startRun();
}

void EventStreamCall::noteUnfinished(const StreamRun& run, FailureKind kind, Milliseconds now)
{
    auto& pace = m_context.pace(m_request.service);
    pace.showsBeginnings = pace.showsBeginnings || (run.begunAt && !run.hasEvent);
    const auto withoutHead = pace.showsBeginnings ? RunBeginning::NotYet : RunBeginning::Hidden;
    const auto withHead = pace.sendsHeadsEarly() ? RunBeginning::Hidden : RunBeginning::Begun;
    const auto withoutEvent = run.begunAt ? withHead : withoutHead;
    const auto since = run.firstEventAt.value_or(run.begunAt.value_or(run.startedAt));
    // A break is a sign of the engine, silence is none.
    const auto lastSign = kind == FailureKind::Silent ? std::max(since, run.lastActivity) : now;
    m_crashWatch.noteUnfinished(
        run.endpoint, run.startedAt, { kind, run.hasEvent ? RunBeginning::Producing : withoutEvent, lastSign - since });
}

bool EventStreamCall::lacksCopy(const StreamRun& run, Milliseconds now) const
{
    const auto holder = copyHolderOf(run, m_context.directory);
    if (!holder)
        return now - run.startedAt >= m_context.settings.relocateAfter;
    // The engines of a zone go together, and the list of endpoints says so only seconds later.
    return holder->isLeaving()
        || m_context.directory.hasZoneFailedSince(holder->entry().availabilityZone, run.startedAt);
}

bool EventStreamCall::mayRelocate(const StreamRun& run, Milliseconds now)
{
    const auto* service = m_context.configuration->findService(m_request.service);
    const bool isPossible
        = service && service->copiesRunningMemory && m_request.route->mayRunAgain() && !run.endpoint->isResting(now);
    const bool leavesAttempt = m_possibleRuns + 1 < m_request.route->maxAttempts;
    // A run at a candidate version is not sent to it again, and its memory stays with its version.
    const bool isAtHome = m_rollout.next().admits(run.endpoint->entry().version);
    return isPossible && isAtHome && leavesAttempt && run.hasEvent
        && expectedRest(now) >= m_context.settings.relocateUnlessDoneWithin
        && !m_context.directory.isZoneAvoided(run.endpoint->entry().availabilityZone, now);
}

// How long the stream will probably go on, from its pace so far and the most that it may hold.
Milliseconds EventStreamCall::expectedRest(Milliseconds now) const
{
    const auto made = static_cast<std::int64_t>(lastEventId());
    const auto most = m_pace.mostEvents();
    if (most == 0 || m_events.length() < 2)
        return Milliseconds::max();
    const auto pace = (now - m_firstEventAt) / static_cast<std::int64_t>(m_events.length());
    return std::max<std::int64_t>(most - made, 0) * pace;
}

void EventStreamCall::runSilent() { runLost(FailureKind::Silent); }

void EventStreamCall::considerRelocation()
{
    const auto now = m_context.now();
    if (m_context.has(Policy::MovesAhead) && !m_relocation && now >= m_nextRelocationAt && lacksCopy(*m_run, now)
        && mayRelocate(*m_run, now))
        relocate();
}

// Brings the run to an engine where it gets a growing copy again.
void EventStreamCall::relocate()
{
    const auto now = m_context.now();
    if (m_nextRelocationAt == Milliseconds { 0 }) {
        // Many streams lose their copies at the same instant, and copies queue on the engines' links.
        const auto spread = static_cast<std::uint64_t>(m_context.settings.relocationSpread.count());
        const auto delay = std::hash<std::string>()(m_request.fields.requestId) % std::max<std::uint64_t>(spread, 1);
        m_nextRelocationAt = now + Milliseconds { static_cast<std::int64_t>(delay) };
        return;
    }
    m_nextRelocationAt = now + m_context.settings.relocateAfter;
    auto excluded = m_failed;
    excluded.push_back(m_run->endpoint);
    const auto target = m_context.placement.choose({ .service = m_request.service,
                                                       .excluded = std::move(excluded),
                                                       .version = m_rollout.next(),
                                                       .mustBeSound = true,
                                                       .limited = LimitedEndpoints::LeftOut },
        now);
    // The retry is taken here: once the run has been stopped it has to go on.
    if (!target || !m_context.retryBudget(m_request.service).take(RetryPurpose::Precaution, m_request.admittedAt, now))
        return;
    LogEvent("stream.relocating")
        .text("request", m_request.fields.requestId)
        .text("endpoint", m_run->endpoint->entry().id)
        .text("target", target->entry().id)
        .text("lost_copy", m_run->copyHolder ? m_run->copyHolder->entry().id : "")
        .write();
    m_relocation = RunRelocation::start(m_context, m_run->endpoint, target, m_request.fields.requestId,
        [weak = weak_from_this()](RelocationResult result, const std::string& handle) {
            const auto self = weak.lock();
            if (self && !self->m_isFinished)
                self->relocated(result, handle);
        });
}

void EventStreamCall::relocated(RelocationResult result, const std::string& handle)
{
    const auto relocation = std::exchange(m_relocation, nullptr);
    LogEvent("stream.relocated")
        .text("request", m_request.fields.requestId)
        .text("result", nameIn(relocationResultNames, result))
        .text("endpoint", relocation->source()->entry().id)
        .text("target", relocation->target()->entry().id)
        .number("last_event", static_cast<std::int64_t>(lastEventId()))
        .write();
    const bool isMoving = m_run && (result == RelocationResult::Moved || result == RelocationResult::Stopped);
    if (!isMoving)
        m_context.retryBudget(m_request.service).giveBack();
    if (result == RelocationResult::Refused || !m_run)
        return;
    if (result == RelocationResult::Unknown) {
        runLost(FailureKind::ConnectionLost);
        return;
    }
    m_run->call->cancel();
    m_run.reset();
    m_watch->stop();
    m_lossAt = m_context.now();
    m_isNextCharged = true;
    const bool isMoved = result == RelocationResult::Moved;
    startRunAt(isMoved ? relocation->target() : relocation->source(),
        CopySource { relocation->source()->entry().address, handle });
}

void EventStreamCall::dropRelocation()
{
    if (std::exchange(m_relocation, nullptr))
        m_context.retryBudget(m_request.service).giveBack();
}

void EventStreamCall::timedOut()
{
    if (!m_isFinished)
        giveUp(m_possibleRuns > 0 ? RefusalReason::TimedOut : RefusalReason::TimedOutUnsent);
}

void EventStreamCall::complete()
{
    m_isComplete = true;
    if (runLocations())
        runLocations()->forget(m_request.fields.promptId);
    m_crashWatch.noteHarmless();
    m_pace.noteWholeAnswer(lastEventId(), m_events.length(), m_lastEventAt - m_firstEventAt);
    logEnd("complete", m_run->head.status);
    m_request.exchange->wake();
    finish();
}

void EventStreamCall::giveUp(RefusalReason reason)
{
    if (!m_isHeadSent) {
        refuse(reason);
        return;
    }
    logEnd(traitsOf(reason).name, 0);
    m_request.exchange->abort();
    finish();
}

void EventStreamCall::refuse(RefusalReason reason)
{
    logEnd(traitsOf(reason).name, traitsOf(reason).status);
    std::optional<Milliseconds> comeBackIn;
    // To come back within the same time would end no better.
    if (reason == RefusalReason::TooLittleTime)
        comeBackIn = std::max(m_request.deadline - m_context.now(), m_context.settings.retryAfter);
    if (reason == RefusalReason::HeldBack)
        comeBackIn = m_context.crashGuard.heldFor(m_request.digest);
    const bool isOpeningKnown = reason == RefusalReason::EndpointsLimited || reason == RefusalReason::EndpointsResting;
    if (const auto opening = nextOpening(); opening && isOpeningKnown)
        comeBackIn = opening->at - m_context.now();
    m_request.exchange->respond(refusal(m_context, reason, comeBackIn));
    finish();
}

// A status of 0 stands for a stream that was broken off.
void EventStreamCall::logEnd(std::string_view outcome, unsigned status)
{
    const auto took = m_context.now() - m_request.admittedAt;
    LogEvent("stream.done", m_isComplete ? LogImportance::Routine : LogImportance::Notable)
        .text("request", m_request.fields.requestId)
        .text("outcome", outcome)
        .number("status", status)
        .number("events", static_cast<std::int64_t>(m_events.length()))
        .number("sendings", m_sendings)
        .number("took_ms", took.count())
        .write();
    m_context.metrics.countRequest(m_request.route->kind, status, took);
}

void EventStreamCall::finish()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_crashWatch.end();
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    m_watch->stop();
    m_survey.reset();
    m_permit.reset();
    dropRelocation();
    if (const auto run = std::exchange(m_run, nullptr))
        run->call->cancel();
}

} // namespace lupinknot::internal
