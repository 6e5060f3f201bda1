#include "daemon/LiveGeneration.h"

#include "common/Log.h"
#include "daemon/Cluster.h"
#include "daemon/EndpointTable.h"
#include "daemon/EngineAttempt.h"
#include "daemon/GenerationWatcher.h"
#include "daemon/Metrics.h"
#include "http/HttpCallGroup.h"
#include "http/HttpCallListener.h"
#include "peer/generated/Messages.pb.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>

namespace lupinknot::internal {

namespace {

// The connection's own timeout is only a safeguard; the driver detects silence and missed deadlines.
constexpr Milliseconds callTimeout { 86400000 };

constexpr Milliseconds stopTimeout { 2000 };
// A timer that fires later than pauseThreshold shows that this VM was paused; its streams then get graceAfterPause more
// time before they count as silent.
constexpr Milliseconds pauseThreshold { 100 };
constexpr Milliseconds graceAfterPause { 100 };
// Separates the generation from its number of takeovers in an id.
constexpr char takeoverSeparator = '~';

std::string idWithoutTakeovers(const std::string& id) { return id.substr(0, id.find(takeoverSeparator)); }

std::string idAfterTakeover(const std::string& id)
{
    const auto separator = id.find(takeoverSeparator);
    const auto takeovers = separator == std::string::npos ? 0 : std::strtoul(id.c_str() + separator + 1, nullptr, 10);
    return idWithoutTakeovers(id) + takeoverSeparator + std::to_string(takeovers + 1);
}

GenerationRequest driverRequest(const CompletionRequest& request, Milliseconds now)
{
    return { request.limits, request.repeatable, now + request.timeLimit };
}

} // namespace

LiveGeneration::LiveGeneration(const GenerationContext& context, CompletionRequest request, std::string id)
    : m_context(context)
    , m_request(std::move(request))
    , m_id(std::move(id))
    , m_key(JournaledRequest::scopedKey(m_request.organisation, m_request.idempotencyKey))
    , m_driver(driverRequest(m_request, context.clock.now()), context.settings.recovery, *this)
    , m_timer(context.ioContext)
    , m_graceTimer(context.ioContext)
{
    if (const auto* ids = std::get_if<std::vector<TokenId>>(&m_request.prompt))
        m_promptIds = *ids;
}

LiveGeneration::LiveGeneration(const GenerationContext& context, CompletionRequest request, ReplicaRecord record)
    : m_context(context)
    , m_request(std::move(request))
    , m_id(idAfterTakeover(record.request.generation))
    , m_key(record.request.key)
    , m_adopted(std::move(record))
    , m_driver(driverRequest(m_request, context.clock.now()), context.settings.recovery, *this)
    , m_promptIds(m_adopted->promptIds)
    , m_timer(context.ioContext)
    , m_graceTimer(context.ioContext)
{
    const auto lastAttempt = m_adopted->attempt ? m_adopted->attempt->number : 0;
    m_driver.adopt({ m_adopted->tokens, lastAttempt, m_adopted->finishReason });
}

void LiveGeneration::start()
{
    if (isJournaled())
        m_context.cluster.attach(shared_from_this());
    const std::lock_guard lock(m_mutex);
    // A request that must not be repeated is sent to an endpoint only when another VM has stored its record.
    if (!isJournaled() || m_request.repeatable || m_adopted)
        startDriver();
    afterEvent();
}

bool LiveGeneration::holds(const std::string& id, std::size_t position) const
{
    const std::lock_guard lock(m_mutex);
    if (id == m_id)
        return position <= visibleLength();
    const bool isEarlierRun = m_adopted && idWithoutTakeovers(id) == idWithoutTakeovers(m_id);
    return isEarlierRun && position <= m_adopted->tokens.size();
}

void LiveGeneration::attach(const std::shared_ptr<GenerationWatcher>& watcher)
{
    const std::lock_guard lock(m_mutex);
    m_watchers.push_back(watcher);
    m_graceTimer.cancel();
    const bool wasOver = m_driver.isOver();
    const auto now = m_context.clock.now();
    m_driver.resumeAbandoned(now, now + m_request.timeLimit);
    if (wasOver && !m_driver.isOver()) {
        logInfo(LogComponent::Caller,
            "generation " + m_id + " is resumed at position " + std::to_string(m_driver.generation().length())
                + " because a caller has returned.");
        m_endedAt.reset();
    }
    afterEvent();
    watcher->progressed();
}

void LiveGeneration::detach(const GenerationWatcher& watcher)
{
    const std::lock_guard lock(m_mutex);
    const auto isDetached
        = [&watcher](const std::shared_ptr<GenerationWatcher>& other) { return other.get() == &watcher; };
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(), isDetached), m_watchers.end());
    if (m_watchers.empty() && !m_driver.isOver())
        lastWatcherDetached();
}

GenerationSlice LiveGeneration::read(std::size_t position, std::size_t maxTokens) const
{
    const std::lock_guard lock(m_mutex);
    const auto& generation = m_driver.generation();
    const auto visible = visibleLength();
    const auto end = maxTokens < visible - std::min(position, visible) ? position + maxTokens : visible;
    GenerationSlice slice;
    for (auto i = position; i < end; ++i)
        slice.tokens.push_back(generation.tokens()[i]);
    if (end == visible && isEndVisible()) {
        slice.finishReason = generation.finishReason();
        slice.error = m_driver.error();
    }
    return slice;
}

std::size_t LiveGeneration::releasedLength() const
{
    const std::lock_guard lock(m_mutex);
    return visibleLength();
}

std::size_t LiveGeneration::promptLength() const
{
    const std::lock_guard lock(m_mutex);
    return m_promptIds.size();
}

bool LiveGeneration::isOver() const
{
    const std::lock_guard lock(m_mutex);
    return m_driver.isOver();
}

std::optional<Milliseconds> LiveGeneration::endedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_endedAt;
}

std::vector<AttemptRecord> LiveGeneration::attempts() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

void LiveGeneration::attemptAccepted(AttemptNumber attempt)
{
    const std::lock_guard lock(m_mutex);
    if (attempt == m_driver.generation().currentAttempt() && !m_driver.isOver())
        m_endpoint->noteAlive();
}

bool LiveGeneration::isJournaled() const { return m_context.cluster.isEnabled() && !m_request.idempotencyKey.empty(); }

void LiveGeneration::startDriver()
{
    const auto now = m_context.clock.now();
    const auto* attempt = m_adopted && m_adopted->attempt ? &*m_adopted->attempt : nullptr;
    const auto endpoint = attempt ? m_context.endpoints.find(attempt->endpoint) : nullptr;
    if (!endpoint) {
        m_driver.start(now);
        return;
    }
    m_endpoint = endpoint;
    m_driver.startAttached({ attempt->endpoint, endpoint->liveness() }, now);
}

std::size_t LiveGeneration::visibleLength() const
{
    const auto released = m_driver.generation().releasedLength();
    if (!isJournaled() || m_isUnprotected)
        return released;
    return std::min(released, m_acknowledged.length);
}

bool LiveGeneration::isEndVisible() const
{
    const bool mustBeHeld = isJournaled() && !m_isUnprotected && !m_driver.error();
    return m_driver.isOver() && (!mustBeHeld || m_acknowledged.isEnded);
}

bool LiveGeneration::fillJournal(JournalCursor& cursor, wire::JournalItem& item, std::vector<Token>& newTokens) const
{
    const std::lock_guard lock(m_mutex);
    const auto& generation = m_driver.generation();
    bool hasChanges = false;
    if (!cursor.isOpened) {
        auto& open = *item.mutable_open();
        open.set_generation(m_id);
        open.set_key(m_request.idempotencyKey);
        open.set_organisation(m_request.organisation);
        open.set_body(m_request.body);
        open.set_repeatable(m_request.repeatable);
        open.set_time_left_ms(m_request.timeLimit.count());
        cursor.isOpened = true;
        hasChanges = true;
    }
    if (m_journaledAttempt && m_journaledAttempt->number != cursor.attempt) {
        auto& attempt = *item.mutable_attempt();
        attempt.set_number(m_journaledAttempt->number);
        attempt.set_endpoint(m_journaledAttempt->endpoint);
        attempt.set_stream(m_journaledAttempt->stream);
        attempt.set_position(m_journaledAttempt->position);
        cursor.attempt = m_journaledAttempt->number;
        hasChanges = true;
    }
    const bool isFirst = !cursor.length && generation.length();
    if (isFirst) {
        item.mutable_prompt_ids()->Add(m_promptIds.begin(), m_promptIds.end());
        hasChanges = true;
    }
    const auto& tokens = generation.tokens();
    newTokens.assign(tokens.begin() + static_cast<std::ptrdiff_t>(cursor.length), tokens.end());
    cursor.length = tokens.size();
    if (generation.isEnded() && !cursor.isEnded) {
        item.mutable_end()->set_finish_reason(static_cast<int>(*generation.finishReason()));
        cursor.isEnded = true;
        hasChanges = true;
    }
    return hasChanges;
}

void LiveGeneration::journalAcknowledged(const JournalCursor& cursor)
{
    const std::lock_guard lock(m_mutex);
    // A batch to an earlier replica may be acknowledged late; the longest length that any replica has acknowledged
    // counts.
    m_acknowledged.length = std::max(m_acknowledged.length, cursor.length);
    m_acknowledged.isEnded = m_acknowledged.isEnded || cursor.isEnded;
    m_isUnprotected = false;
    if (!m_driver.isStarted())
        startDriver();
    afterEvent();
}

void LiveGeneration::journalUnprotected()
{
    const std::lock_guard lock(m_mutex);
    const bool mayContinue = m_request.repeatable && m_context.settings.journal.continuesWithoutPeers;
    // A generation that has started continues: an answer that could be lost is better for the caller than none.
    const bool mustStop = !m_driver.isStarted() && !mayContinue;
    logWarning(LogComponent::Journal,
        "generation " + m_id + (mustStop ? " is refused" : " continues without a replica")
            + ": no other VM can be reached.");
    m_isUnprotected = true;
    if (mustStop)
        m_driver.stop(GenerationErrorCode::NotProtected);
    afterEvent();
}

void LiveGeneration::journalRefused()
{
    m_context.cluster.detach(*this);
    const std::lock_guard lock(m_mutex);
    logWarning(LogComponent::Journal, "generation " + m_id + " is stopped because another VM runs it now.");
    m_driver.stop(GenerationErrorCode::TakenOver);
    afterEvent();
}

void LiveGeneration::detachJournal() { m_context.cluster.detach(*this); }

bool LiveGeneration::isKeyReusable() const
{
    const std::lock_guard lock(m_mutex);
    const auto& error = m_driver.error();
    return error && (error->code == GenerationErrorCode::TakenOver || error->outcome == RunOutcome::NotRun);
}

void LiveGeneration::shutDown()
{
    const std::lock_guard lock(m_mutex);
    m_watchers.clear();
    m_timer.cancel();
    m_graceTimer.cancel();
}

void LiveGeneration::promptIdsKnown(AttemptNumber attempt, std::vector<TokenId> ids)
{
    const std::lock_guard lock(m_mutex);
    const bool areIdsNeeded = attempt == m_driver.generation().currentAttempt() && m_promptIds.empty();
    if (areIdsNeeded)
        m_promptIds = std::move(ids);
}

void LiveGeneration::tokensArrived(AttemptNumber attempt, std::size_t position, std::vector<Token> tokens)
{
    const std::lock_guard lock(m_mutex);
    // Without the token ids of the prompt, the generation could not be resumed after a loss, so an engine that does not
    // send them is not used.
    if (m_promptIds.empty()) {
        m_driver.attemptFailed(attempt, FailureKind::MalformedEvent, m_context.clock.now());
        afterEvent();
        return;
    }
    for (auto& token : tokens) {
        const auto result = m_driver.tokenArrived(attempt, position++, std::move(token), m_context.clock.now());
        if (result == AppendResult::Appended) {
            m_context.metrics.tokens.Increment();
            continue;
        }
        m_context.metrics.refusedTokens.Increment();
        logInfo(LogComponent::Attempt,
            attemptDescription(attempt) + ": token refused at position " + std::to_string(position - 1) + ": "
                + std::string(nameIn(appendResultNames, result)) + ".");
        break;
    }
    afterEvent();
}

void LiveGeneration::attemptFinished(AttemptNumber attempt, std::size_t position, FinishReason reason)
{
    const std::lock_guard lock(m_mutex);
    m_driver.attemptFinished(attempt, position, reason, m_context.clock.now());
    afterEvent();
}

void LiveGeneration::attemptFailed(AttemptNumber attempt, FailureKind failure)
{
    const std::lock_guard lock(m_mutex);
    m_driver.attemptFailed(attempt, failure, m_context.clock.now());
    afterEvent();
}

std::optional<EndpointChoice> LiveGeneration::chooseEndpoint(const std::vector<EndpointName>& avoid)
{
    const auto next = m_driver.generation().currentAttempt() + 1;
    const auto endpoint = m_context.endpoints.chooseForModel(m_request.model, { attemptDescription(next), avoid });
    if (!endpoint)
        return std::nullopt;
    m_endpoint = endpoint;
    return EndpointChoice { endpoint->settings().name, endpoint->liveness() };
}

void LiveGeneration::startAttempt(const AttemptOrder& order)
{
    m_endpoint->workStarted();
    m_context.metrics.attempts.Increment();
    m_records.push_back({ order.number, order.endpoint, order.position, {}, {}, {} });
    if (order.attaches) {
        const auto& stream = *m_adopted->attempt;
        m_journaledAttempt = JournaledAttempt { order.number, order.endpoint, stream.stream, stream.position };
        m_attempt = std::make_shared<EngineAttempt>(shared_from_this(), order, stream.position);
        const auto from = std::to_string(order.position - stream.position);
        const HttpRequest message { "GET", "/v1/streams/" + stream.stream + "?from=" + from, {}, {} };
        m_attempt->start(m_context.calls, m_endpoint->settings().socketAddress(), message, callTimeout);
        return;
    }
    m_journaledAttempt = JournaledAttempt { order.number, order.endpoint, streamId(order.number), order.position };
    m_attempt = std::make_shared<EngineAttempt>(shared_from_this(), order, order.position);
    const auto keep = isJournaled() ? m_context.settings.journal.detachedRunTime : Milliseconds::zero();
    const auto message = engineRequest(m_request, { streamId(order.number), keep }, prefix());
    m_attempt->start(m_context.calls, m_endpoint->settings().socketAddress(), message, callTimeout);
}

void LiveGeneration::cancelAttempt(AttemptNumber)
{
    const bool mayStillRun = isJournaled() && !m_attempt->isFinished();
    if (mayStillRun)
        stopStream(m_endpoint->settings(), m_journaledAttempt->stream);
    // Posted, because cancelling may run callbacks of the call that take the lock.
    boost::asio::post(m_context.ioContext, [attempt = std::move(m_attempt)] { attempt->cancel(); });
    m_attempt.reset();
}

void LiveGeneration::attemptEnded(const AttemptEnd& end)
{
    m_endpoint->workEnded(end.failure, m_context.clock.now());
    m_records.back().failure = end.failure;
    if (!end.failure)
        return;
    m_context.metrics.countFailure(*end.failure);
    logWarning(LogComponent::Attempt,
        attemptDescription(end.number) + " on " + end.endpoint + " failed at position "
            + std::to_string(m_driver.generation().length()) + ": " + std::string(traitsOf(*end.failure).name) + ".");
}

void LiveGeneration::resumed(const ResumeReport& report)
{
    m_context.metrics.resumptions.Increment();
    m_context.metrics.resumeGap.Observe(static_cast<double>(report.gap.count()));
    m_context.metrics.resumeAfterDetection.Observe(static_cast<double>(report.sinceDetection.count()));
    m_records.back().resumeGap = report.gap;
    m_records.back().resumeAfterDetection = report.sinceDetection;
    logInfo(LogComponent::Attempt,
        attemptDescription(report.number) + " resumed at position " + std::to_string(report.position) + ", "
            + std::to_string(report.gap.count()) + " ms after the last token and "
            + std::to_string(report.sinceDetection.count()) + " ms after the loss was detected.");
}

std::string LiveGeneration::streamId(AttemptNumber attempt) const { return m_id + ":" + std::to_string(attempt); }

// Cancels a stream on its engine, because an engine may keep streams running without a connection.
void LiveGeneration::stopStream(const EndpointSettings& endpoint, const std::string& stream)
{
    class IgnoringListener final : public HttpCallListener {
    public:
        void headerArrived(unsigned, const HttpHeaders&) override { }
        void bodyArrived(std::string_view) override { }
        void ended() override { }
        void failed(HttpCallFailure, const std::string&) override { }
    };
    const HttpRequest message { "DELETE", "/v1/streams/" + stream, {}, {} };
    m_context.calls.start(endpoint.socketAddress(), message, stopTimeout, std::make_shared<IgnoringListener>());
}

std::string LiveGeneration::attemptDescription(AttemptNumber attempt) const
{
    return "generation " + m_id + " attempt " + std::to_string(attempt);
}

std::optional<EnginePrefix> LiveGeneration::prefix() const
{
    const auto& tokens = m_driver.generation().tokens();
    if (tokens.empty())
        return std::nullopt;
    EnginePrefix prefix { m_promptIds, {} };
    prefix.generatedIds.reserve(tokens.size());
    for (const auto& token : tokens)
        prefix.generatedIds.push_back(token.id);
    return prefix;
}

// Does what any event may require: notifies the watchers, records the end and sets the timer.
void LiveGeneration::afterEvent()
{
    if (m_driver.isOver() && !m_endedAt) {
        m_endedAt = m_context.clock.now();
        if (const auto& error = m_driver.error())
            logWarning(LogComponent::Caller,
                "generation " + m_id + " was given up: " + error->message + " ("
                    + std::string(nameIn(runOutcomeNames, error->outcome)) + ").");
    }
    if (isJournaled())
        m_context.cluster.changed(*this);
    notifyWatchers();
    armTimer();
}

void LiveGeneration::notifyWatchers()
{
    const auto visible = visibleLength();
    if (visible == m_notifiedLength && !m_driver.isOver())
        return;
    m_notifiedLength = visible;
    for (const auto& watcher : m_watchers)
        watcher->progressed();
}

void LiveGeneration::armTimer()
{
    const auto next = m_driver.nextTick();
    if (next < m_timerExpiry)
        armTimerFor(next);
}

void LiveGeneration::armTimerFor(Milliseconds next)
{
    m_timerExpiry = next;
    const auto wait = std::max(Milliseconds::zero(), next - m_context.clock.now());
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->timerFired();
    });
}

void LiveGeneration::timerFired()
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_context.clock.now();
    const bool wasPaused = now - m_timerExpiry >= pauseThreshold;
    m_timerExpiry = Milliseconds::max();
    // After a pause of this VM every stream looks silent while its tokens wait in the sockets. Those are read first; a
    // stream that is still silent after that is detected when the timer fires next.
    if (wasPaused && !m_isWaitingAfterPause) {
        m_isWaitingAfterPause = true;
        armTimerFor(now + graceAfterPause);
        return;
    }
    m_isWaitingAfterPause = false;
    m_driver.tick(now);
    afterEvent();
}

// A keyed generation that must not be repeated runs to its end, because its answer could not be generated a second
// time.
void LiveGeneration::lastWatcherDetached()
{
    m_context.metrics.callersDisconnected.Increment();
    const bool canCallerReturn = !m_request.idempotencyKey.empty();
    if (canCallerReturn && !m_request.repeatable) {
        logInfo(LogComponent::Caller,
            "generation " + m_id + " continues without a caller because it must not be repeated.");
        return;
    }
    const auto grace = canCallerReturn ? m_context.settings.generation.detachedGrace : Milliseconds::zero();
    if (grace == Milliseconds::zero()) {
        abandonIfUnwatched();
        return;
    }
    m_graceTimer.expires_after(grace);
    m_graceTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self || error)
            return;
        const std::lock_guard lock(self->m_mutex);
        self->abandonIfUnwatched();
    });
}

void LiveGeneration::abandonIfUnwatched()
{
    if (!m_watchers.empty() || m_driver.isOver())
        return;
    logInfo(LogComponent::Caller,
        "generation " + m_id + " is cancelled at position " + std::to_string(m_driver.generation().length())
            + " because its caller has disconnected.");
    m_driver.abandon();
    afterEvent();
}

} // namespace lupinknot::internal
