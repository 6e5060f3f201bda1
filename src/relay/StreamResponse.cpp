#include "relay/StreamResponse.h"

#include "common/EventLog.h"
#include "http/HttpBodySource.h"
#include "http/HttpExchange.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayRequest.h"
#include "relay/StreamRun.h"

#include <algorithm>
#include <limits>

namespace lupinknot::internal {

// Passes the events to the caller's connection as it requests them.
class StreamResponse::Source final : public HttpBodySource {
public:
    explicit Source(std::shared_ptr<const StreamResponse> answer)
        : m_answer(std::move(answer))
    {
    }

    HttpBodyPiece next() override
    {
        HttpBodyPiece piece;
        const auto& events = m_answer->m_events.tokens();
        for (; m_forwardedCount < events.size(); ++m_forwardedCount)
            piece.bytes.append(events[m_forwardedCount].text);
        piece.isLast = m_answer->m_isComplete;
        return piece;
    }

private:
    const std::shared_ptr<const StreamResponse> m_answer;
    std::size_t m_forwardedCount { 0 };
};

std::shared_ptr<StreamResponse> StreamResponse::make(const RelayRequest& request)
{
    return std::shared_ptr<StreamResponse>(new StreamResponse(request));
}

StreamResponse::StreamResponse(const RelayRequest& request)
    : m_request(request)
    , m_previousEventId(request.fields.lastEventId.value_or(0))
    , m_events({ .maxTokens = std::numeric_limits<std::size_t>::max(), .stops = {} })
{
}

bool StreamResponse::append(const StreamRun& run, std::vector<CompleteEvent>&& events)
{
    for (auto& event : events) {
        const auto position = static_cast<std::size_t>(event.id - m_previousEventId - 1);
        Token token { static_cast<TokenId>(position), std::move(event.bytes) };
        if (m_events.append(run.number, position, std::move(token)) == AppendResult::Appended)
            continue;
        LogEvent("stream.wrong-event")
            .text("request", m_request.fields.requestId)
            .text("endpoint", run.endpoint->entry().id)
            .number("expected", static_cast<std::int64_t>(lastEventId() + 1))
            .number("came", static_cast<std::int64_t>(event.id))
            .write();
        return false;
    }
    return true;
}

void StreamResponse::forwardToCaller(const HttpResponse& head, Milliseconds now)
{
    m_lastEventAt = now;
    if (!std::exchange(m_hasBegun, true)) {
        m_firstEventAt = now;
        m_request.exchange->stream(head, std::make_shared<Source>(shared_from_this()));
    }
    m_request.exchange->wake();
}

Milliseconds StreamResponse::expectedTimeLeft(std::int64_t maxEvents, Milliseconds now) const
{
    if (maxEvents == 0 || length() < 2)
        return Milliseconds::max();
    const auto pace = (now - m_firstEventAt) / static_cast<std::int64_t>(length());
    return std::max<std::int64_t>(maxEvents - static_cast<std::int64_t>(lastEventId()), 0) * pace;
}

} // namespace lupinknot::internal
