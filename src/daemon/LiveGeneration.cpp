#include "daemon/LiveGeneration.h"

#include "common/Log.h"
#include "daemon/EndpointTable.h"
#include "daemon/EngineAttempt.h"
#include "daemon/GenerationWatcher.h"
#include "daemon/Metrics.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

// The connection's own time limit is only a guard; silence and deadlines are noticed by the driver.
constexpr Milliseconds callTimeout { 86400000 };

GenerationRequest driverRequest(const CompletionRequest& request, Milliseconds now)
{
    return { request.limits, request.repeatable, now + request.timeLimit };
}

} // namespace

LiveGeneration::LiveGeneration(const GenerationContext& context, CompletionRequest request, std::string id)
    : m_context(context)
    , m_request(std::move(request))
    , m_id(std::move(id))
    , m_driver(driverRequest(m_request, context.clock.now()), context.settings.recovery, *this)
    , m_timer(context.ioContext)
    , m_graceTimer(context.ioContext)
{
    if (const auto* ids = std::get_if<std::vector<TokenId>>(&m_request.prompt))
        m_promptIds = *ids;
}

void LiveGeneration::start()
{
    const std::lock_guard lock(m_mutex);
    m_driver.start(m_context.clock.now());
    afterEvent();
}

void LiveGeneration::attach(const std::shared_ptr<GenerationWatcher>& watcher)
{
    const std::lock_guard lock(m_mutex);
    m_watchers.push_back(watcher);
    m_graceTimer.cancel();
    const bool wasOver = m_driver.isOver();
    const auto now = m_context.clock.now();
    m_driver.revive(now, now + m_request.timeLimit);
    if (wasOver && !m_driver.isOver()) {
        logInfo(LogPart::Caller,
            "generation " + m_id + " goes on at position " + std::to_string(m_driver.generation().length())
                + ": a caller has come back.");
        m_endedAt.reset();
    }
    afterEvent();
    watcher->progressed();
}

void LiveGeneration::detach(const GenerationWatcher& watcher)
{
    const std::lock_guard lock(m_mutex);
    const auto isGone = [&watcher](const std::shared_ptr<GenerationWatcher>& other) { return other.get() == &watcher; };
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(), isGone), m_watchers.end());
    if (m_watchers.empty() && !m_driver.isOver())
        lastWatcherLeft();
}

GenerationSlice LiveGeneration::read(std::size_t position, std::size_t maxTokens) const
{
    const std::lock_guard lock(m_mutex);
    const auto& generation = m_driver.generation();
    const auto end = std::min(generation.releasedLength(), position + maxTokens);
    GenerationSlice slice;
    for (auto i = position; i < end; ++i)
        slice.tokens.push_back(generation.tokens()[i]);
    if (end == generation.releasedLength() && m_driver.isOver()) {
        slice.finishReason = generation.finishReason();
        slice.error = m_driver.error();
    }
    return slice;
}

std::size_t LiveGeneration::releasedLength() const
{
    const std::lock_guard lock(m_mutex);
    return m_driver.generation().releasedLength();
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
    const bool isNews = attempt == m_driver.generation().currentAttempt() && m_promptIds.empty();
    if (isNews)
        m_promptIds = std::move(ids);
}

void LiveGeneration::tokensArrived(AttemptNumber attempt, std::size_t position, std::vector<Token> tokens)
{
    const std::lock_guard lock(m_mutex);
    // Without the ids of the prompt a loss could not be resumed, so an engine that does not give them is not used.
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
        logInfo(LogPart::Attempt,
            attemptText(attempt) + " has a token refused at position " + std::to_string(position - 1) + ": "
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
    const auto endpoint = m_context.endpoints.chooseForModel(m_request.model, { attemptText(next), avoid });
    if (!endpoint)
        return std::nullopt;
    m_endpoint = endpoint;
    return EndpointChoice { endpoint->settings().name, endpoint->pulse() };
}

void LiveGeneration::startAttempt(const AttemptOrder& order)
{
    m_endpoint->workStarted();
    m_context.metrics.attempts.Increment();
    m_records.push_back({ order.number, order.endpoint, order.position, {}, {}, {} });
    m_attempt = std::make_shared<EngineAttempt>(shared_from_this(), order);
    const auto message = engineRequest(m_request, m_id + ":" + std::to_string(order.number), prefix());
    m_attempt->start(m_context.calls, m_endpoint->settings().socketAddress(), message, callTimeout);
}

void LiveGeneration::cancelAttempt(AttemptNumber)
{
    // Not on this stack: cancelling may run callbacks of the call, and those take the lock.
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
    logWarning(LogPart::Attempt,
        attemptText(end.number) + " on " + end.endpoint + " failed at position "
            + std::to_string(m_driver.generation().length()) + ": " + std::string(traitsOf(*end.failure).name) + ".");
}

void LiveGeneration::resumed(const ResumeReport& report)
{
    m_context.metrics.resumptions.Increment();
    m_context.metrics.resumeGap.Observe(static_cast<double>(report.gap.count()));
    m_context.metrics.resumeAfterDetection.Observe(static_cast<double>(report.sinceDetection.count()));
    m_records.back().resumeGap = report.gap;
    m_records.back().resumeAfterDetection = report.sinceDetection;
    logInfo(LogPart::Attempt,
        attemptText(report.number) + " resumed at position " + std::to_string(report.position) + ", "
            + std::to_string(report.gap.count()) + " ms after the last token and "
            + std::to_string(report.sinceDetection.count()) + " ms after the loss was noticed.");
}

std::string LiveGeneration::attemptText(AttemptNumber attempt) const
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

// What every event can lead to: news for the watchers, an end, a new time for the timer.
void LiveGeneration::afterEvent()
{
    if (m_driver.isOver() && !m_endedAt) {
        m_endedAt = m_context.clock.now();
        if (const auto& error = m_driver.error())
            logWarning(LogPart::Caller,
                "generation " + m_id + " was given up: " + error->message + " ("
                    + std::string(nameIn(runOutcomeNames, error->outcome)) + ").");
    }
    notifyWatchers();
    armTimer();
}

void LiveGeneration::notifyWatchers()
{
    const auto released = m_driver.generation().releasedLength();
    if (released == m_notifiedLength && !m_driver.isOver())
        return;
    m_notifiedLength = released;
    for (const auto& watcher : m_watchers)
        watcher->progressed();
}

void LiveGeneration::armTimer()
{
    const auto next = m_driver.nextTick();
    if (next >= m_armedFor)
        return;
    m_armedFor = next;
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
    m_armedFor = Milliseconds::max();
    m_driver.tick(m_context.clock.now());
    afterEvent();
}

// A keyed generation that must not be repeated runs to its end, because its answer could not be had a second time.
void LiveGeneration::lastWatcherLeft()
{
    m_context.metrics.callersGone.Increment();
    const bool canComeBack = !m_request.idempotencyKey.empty();
    if (canComeBack && !m_request.repeatable) {
        logInfo(LogPart::Caller, "generation " + m_id + " runs on without a caller: it must not be repeated.");
        return;
    }
    const auto grace = canComeBack ? m_context.settings.generation.detachedGrace : Milliseconds::zero();
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
    logInfo(LogPart::Caller,
        "generation " + m_id + " is cancelled at position " + std::to_string(m_driver.generation().length())
            + ": the caller has gone.");
    m_driver.abandon();
    afterEvent();
}

} // namespace lupinknot::internal
