#include "daemon/EngineAttempt.h"

#include "daemon/LiveGeneration.h"
#include "http/HttpCallGroup.h"

namespace lupinknot::internal {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;

FailureKind failureOfStatus(unsigned status)
{
    const bool isOverloaded = status == statusTooManyRequests || status == statusUnavailable;
    return isOverloaded ? FailureKind::Overloaded : FailureKind::ErrorStatus;
}

} // namespace

EngineAttempt::EngineAttempt(
    std::shared_ptr<LiveGeneration> generation, const AttemptOrder& order, std::size_t streamPosition)
    : m_generation(std::move(generation))
    , m_number(order.number)
    , m_firstPosition(streamPosition)
    , m_nextPosition(order.position)
    , m_attaches(order.attaches)
{
}

void EngineAttempt::start(
    HttpCallGroup& calls, const SocketAddress& address, const HttpRequest& request, Milliseconds timeout)
{
    m_call = calls.start(address, request, timeout, shared_from_this());
}

void EngineAttempt::cancel() { m_call->cancel(); }

void EngineAttempt::headerArrived(unsigned status, const HttpHeaders&)
{
    if (status == statusOk)
        m_generation->attemptAccepted(m_number);
    else if (m_attaches && status == statusNotFound)
        fail(FailureKind::StreamGone);
    else
        fail(failureOfStatus(status));
}

void EngineAttempt::bodyArrived(std::string_view piece)
{
    if (m_isOver)
        return;
    std::vector<SseEvent> events;
    const bool isReadable = m_parser.feed(piece, events);
    for (const auto& event : events) {
        auto parsed = parseEngineEvent(event.data);
        if (!parsed) {
            fail(FailureKind::MalformedEvent);
            return;
        }
        take(std::move(*parsed));
        if (m_isOver)
            return;
    }
    if (!isReadable)
        fail(FailureKind::MalformedEvent);
}

void EngineAttempt::ended() { fail(FailureKind::EarlyEnd); }

void EngineAttempt::failed(HttpCallFailure failure, const std::string&)
{
    const bool isRefused = failure == HttpCallFailure::NotConnected;
    fail(isRefused ? FailureKind::ConnectionRefused : FailureKind::ConnectionLost);
}

void EngineAttempt::take(EngineEvent event)
{
    if (!event.promptIds.empty())
        m_generation->promptIdsKnown(m_number, std::move(event.promptIds));
    const auto position = event.position ? m_firstPosition + *event.position : m_nextPosition;
    const auto count = event.tokens.size();
    if (count) {
        m_generation->tokensArrived(m_number, position, std::move(event.tokens));
        m_nextPosition = position + count;
    }
    if (event.finishReason) {
        m_isFinished = true;
        m_generation->attemptFinished(m_number, m_nextPosition, *event.finishReason);
        m_isOver = true;
    } else if (event.isDone) {
        fail(FailureKind::EarlyEnd);
    }
}

void EngineAttempt::fail(FailureKind failure)
{
    if (m_isOver)
        return;
    m_isOver = true;
    // Ignored when the generation has finished or another attempt is the current one.
    m_generation->attemptFailed(m_number, failure);
}

} // namespace lupinknot::internal
