#include "lupinknot/GenerationDriver.h"

#include <algorithm>

namespace lupinknot {

namespace internal {

struct ErrorText {
    GenerationErrorCode code;
    std::string_view text;
};

constexpr std::array<ErrorText, 7> errorTexts { {
    { GenerationErrorCode::NoEndpoint, "no endpoint could take the request in the time allowed" },
    { GenerationErrorCode::AttemptsExhausted, "too many attempts failed" },
    { GenerationErrorCode::MayHaveRun,
        "the endpoint was lost before its first token, and the request must not be repeated" },
    { GenerationErrorCode::DeadlineExceeded, "the deadline passed before the answer was complete" },
    { GenerationErrorCode::Abandoned, "the caller has gone" },
    { GenerationErrorCode::NotProtected, "no other VM could take note of the request, which must not be repeated" },
    { GenerationErrorCode::TakenOver, "another VM runs the generation now; ask again with the same Idempotency-Key" },
} };

} // namespace internal

GenerationDriver::GenerationDriver(GenerationRequest request, const RecoverySettings& settings, AttemptHost& host)
    : m_request(std::move(request))
    , m_settings(settings)
    , m_host(host)
    , m_generation(m_request.limits)
{
    m_recovery.repeatable = m_request.repeatable;
}

void GenerationDriver::start(Milliseconds now)
{
    if (m_state != State::Idle)
        return;
    m_waitingSince = now;
    tryNextAttempt(now);
}

AppendResult GenerationDriver::tokenArrived(AttemptNumber attempt, std::size_t position, Token token, Milliseconds now)
{
    if (!isCurrent(attempt))
        return resultForStaleAttempt();
    const auto result = m_generation.append(attempt, position, std::move(token));
    if (result == AppendResult::WrongPosition)
        attemptFailed(attempt, FailureKind::WrongPosition, now);
    if (result != AppendResult::Appended)
        return result;
    noteToken(now);
    if (m_generation.isEnded())
        complete();
    return result;
}

AppendResult GenerationDriver::attemptFinished(
    AttemptNumber attempt, std::size_t position, FinishReason reason, Milliseconds now)
{
    if (!isCurrent(attempt))
        return resultForStaleAttempt();
    const auto result = m_generation.finish(attempt, position, reason);
    if (result == AppendResult::WrongPosition)
        attemptFailed(attempt, FailureKind::WrongPosition, now);
    if (result == AppendResult::Appended)
        complete();
    return result;
}

// A cancelled attempt stays the generation's current one if no other follows, so the generation alone would still
// accept its tokens.
AppendResult GenerationDriver::resultForStaleAttempt() const
{
    return m_generation.isEnded() ? AppendResult::AlreadyEnded : AppendResult::NotCurrentAttempt;
}

void GenerationDriver::attemptFailed(AttemptNumber attempt, FailureKind failure, Milliseconds now)
{
    if (isCurrent(attempt))
        handleFailedAttempt(failure, now);
}

void GenerationDriver::tick(Milliseconds now)
{
    if (m_state == State::Idle || m_state == State::Ended)
        return;
    if (now >= m_request.deadline) {
        giveUp(GenerationErrorCode::DeadlineExceeded);
        return;
    }
    if (m_state == State::Running)
        checkSilence(now);
    else if (now >= m_retryAt)
        tryNextAttempt(now);
}

Milliseconds GenerationDriver::nextTick() const
{
    if (m_state == State::Running && !mayAttemptFollow())
        return m_request.deadline;
    if (m_state == State::Running)
        return std::min(m_request.deadline, m_running.endpoint.liveness->nextCheck(m_running.activity));
    if (m_state == State::WaitingForEndpoint)
        return std::min(m_request.deadline, m_retryAt);
    return Milliseconds::max();
}

bool GenerationDriver::mayAttemptFollow() const
{
    auto afterLoss = m_recovery;
    afterLoss.mayHaveStarted = true;
    ++afterLoss.attemptsBegun;
    return nextStep(afterLoss, m_settings) == RecoveryStep::Retry;
}

void GenerationDriver::abandon() { stop(GenerationErrorCode::Abandoned); }

void GenerationDriver::stop(GenerationErrorCode code)
{
    if (m_state != State::Ended)
        giveUp(code);
}

void GenerationDriver::adopt(AdoptedGeneration adopted)
{
    m_generation.adopt(std::move(adopted.tokens), adopted.lastAttempt, adopted.finishReason);
    m_recovery.tokensHeld = m_generation.length();
    m_recovery.mayHaveStarted = adopted.lastAttempt > 0;
    if (m_generation.isEnded())
        m_state = State::Ended;
}

void GenerationDriver::startAttached(EndpointChoice endpoint, Milliseconds now)
{
    if (m_state != State::Idle)
        return;
    m_waitingSince = now;
    beginAttempt(std::move(endpoint), now, true);
}

void GenerationDriver::resumeAbandoned(Milliseconds now, Milliseconds deadline)
{
    const bool isAbandoned = m_error && m_error->code == GenerationErrorCode::Abandoned;
    if (!isAbandoned || nextStep(m_recovery, m_settings) == RecoveryStep::GiveUp)
        return;
    m_error.reset();
    m_request.deadline = deadline;
    m_loss.reset();
    m_endpointsToAvoid.clear();
    m_waitingSince = now;
    tryNextAttempt(now);
}

void GenerationDriver::tryNextAttempt(Milliseconds now)
{
    // Limits the time spent on endpoints that reject the work at once, which would otherwise be retried without end.
    const bool isWaitOver = now - m_waitingSince > m_settings.endpointWait;
    if (isWaitOver) {
        giveUp(GenerationErrorCode::NoEndpoint);
        return;
    }
    if (auto endpoint = m_host.chooseEndpoint(m_endpointsToAvoid)) {
        beginAttempt(std::move(*endpoint), now, false);
        return;
    }
    waitForEndpoint(now);
}

void GenerationDriver::beginAttempt(EndpointChoice endpoint, Milliseconds now, bool attaches)
{
    m_state = State::Running;
    m_running = { m_generation.beginAttempt(), std::move(endpoint), { now, false } };
    m_host.startAttempt({ m_running.number, m_running.endpoint.name, m_generation.length(), attaches });
}

void GenerationDriver::waitForEndpoint(Milliseconds now)
{
    m_state = State::WaitingForEndpoint;
    m_endpointsToAvoid.clear();
    m_retryAt = now + m_settings.endpointRetryInterval;
}

void GenerationDriver::noteToken(Milliseconds now)
{
    std::optional<Milliseconds> gap;
    if (m_running.activity.hasToken)
        gap = now - m_running.activity.lastActivity;
    m_running.endpoint.liveness->tokenSeen(now, gap);
    m_running.activity = { now, true };
    m_recovery.tokensHeld = m_generation.length();
    m_recovery.mayHaveStarted = true;
    reportResumption(now);
}

void GenerationDriver::reportResumption(Milliseconds now)
{
    if (!m_loss)
        return;
    const auto position = m_generation.length() - 1;
    m_host.resumed({ m_running.number, m_loss->failure, position, now - m_loss->lastActivity, now - m_loss->detected });
    m_loss.reset();
    m_endpointsToAvoid.clear();
}

void GenerationDriver::handleFailedAttempt(FailureKind failure, Milliseconds now)
{
    m_lastFailure = failure;
    if (!traitsOf(failure).provesNotStarted) {
        m_recovery.mayHaveStarted = true;
        ++m_recovery.attemptsBegun;
        m_waitingSince = now;
    }
    // The gap that a caller sees begins at the last token, however many attempts fail before the next token.
    if (!m_loss)
        m_loss = Loss { failure, m_running.activity.lastActivity, now };
    m_endpointsToAvoid.push_back(m_running.endpoint.name);
    endRunningAttempt(failure);
    if (nextStep(m_recovery, m_settings) == RecoveryStep::Retry) {
        tryNextAttempt(now);
        return;
    }
    const bool isExhausted = m_recovery.attemptsBegun >= m_settings.maxAttempts;
    giveUp(isExhausted ? GenerationErrorCode::AttemptsExhausted : GenerationErrorCode::MayHaveRun);
}

void GenerationDriver::endRunningAttempt(std::optional<FailureKind> failure)
{
    m_state = State::WaitingForEndpoint;
    m_host.cancelAttempt(m_running.number);
    m_host.attemptEnded({ m_running.number, m_running.endpoint.name, failure });
}

void GenerationDriver::checkSilence(Milliseconds now)
{
    const auto verdict = m_running.endpoint.liveness->verdict(now, m_running.activity);
    if (verdict == LivenessVerdict::Alive || !mayAttemptFollow())
        return;
    const bool isFirstTokenLate = verdict == LivenessVerdict::StreamSilent && !m_running.activity.hasToken;
    handleFailedAttempt(isFirstTokenLate ? FailureKind::FirstTokenTimeout : FailureKind::Silent, now);
}

void GenerationDriver::complete()
{
    endRunningAttempt(std::nullopt);
    m_state = State::Ended;
}

void GenerationDriver::giveUp(GenerationErrorCode code)
{
    if (m_state == State::Running) {
        // The request was sent, and nothing proves that the endpoint has not begun.
        m_recovery.mayHaveStarted = true;
        endRunningAttempt(std::nullopt);
    }
    m_state = State::Ended;
    m_error = GenerationError { code, outcomeOf(m_recovery), describe(code) };
}

std::string GenerationDriver::describe(GenerationErrorCode code) const
{
    std::string text;
    for (const auto& row : internal::errorTexts) {
        if (row.code == code)
            text = row.text;
    }
    if (m_lastFailure)
        text.append("; the last attempt failed with ").append(traitsOf(*m_lastFailure).name);
    return text;
}

} // namespace lupinknot
