#include "standin/EngineStream.h"

#include "http/HttpExchange.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

using nlohmann::json;

// Sends the events that one reader has not received yet.
class EngineStream::Reader final : public HttpBodySource {
public:
    Reader(std::shared_ptr<EngineStream> stream, std::size_t position)
        : m_stream(std::move(stream))
        , m_position(position)
    {
    }

    HttpBodyPiece next() override
    {
        const std::lock_guard lock(m_stream->m_mutex);
        HttpBodyPiece piece { m_stream->eventsFrom(m_position), false };
        m_position = m_stream->m_tokens.size();
        if (m_stream->m_faultBytes)
            piece.bytes.append(*m_stream->m_faultBytes);
        else if (m_stream->isEnded())
            piece.bytes.append("data: [DONE]\n\n");
        piece.isLast = m_stream->m_faultBytes || m_stream->isEnded();
        return piece;
    }

private:
    const std::shared_ptr<EngineStream> m_stream;
    std::size_t m_position;
};

EngineStream::EngineStream(EngineStreamRequest request, Milliseconds readyAt)
    : m_request(std::move(request))
    , m_readyAt(readyAt)
    , m_sequence(m_request.promptIds)
{
}

void EngineStream::attach(const std::shared_ptr<HttpExchange>& exchange, std::size_t position)
{
    {
        const std::lock_guard lock(m_mutex);
        m_exchange = exchange;
    }
    exchange->stream({ 200, { { "Content-Type", "text/event-stream" } }, {} },
        std::make_shared<Reader>(shared_from_this(), position));
}

bool EngineStream::detach(const HttpExchange& exchange)
{
    const std::lock_guard lock(m_mutex);
    if (m_exchange.get() != &exchange)
        return false;
    m_exchange.reset();
    return true;
}

bool EngineStream::isAttached() const
{
    const std::lock_guard lock(m_mutex);
    return m_exchange != nullptr;
}

void EngineStream::step()
{
    const std::lock_guard lock(m_mutex);
    m_tokens.push_back(m_sequence.next());
    m_sequence.push(m_tokens.back().id);
    if (m_exchange)
        m_exchange->wake();
}

void EngineStream::endWithFault(const std::string& bytes)
{
    const std::lock_guard lock(m_mutex);
    m_faultBytes = bytes;
    if (m_exchange)
        m_exchange->wake();
}

void EngineStream::omitNextToken()
{
    const std::lock_guard lock(m_mutex);
    m_omittedPosition = m_tokens.size();
}

std::size_t EngineStream::generatedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_tokens.size();
}

bool EngineStream::isComplete() const
{
    const std::lock_guard lock(m_mutex);
    return isEnded() || m_faultBytes;
}

std::string EngineStream::eventsFrom(std::size_t position) const
{
    std::string events;
    for (auto i = position; i < m_tokens.size(); ++i) {
        if (i != m_omittedPosition)
            events.append("data: ").append(eventOf(i)).append("\n\n");
    }
    return events;
}

std::string EngineStream::eventOf(std::size_t position) const
{
    const auto& token = m_tokens[position];
    json choice { { "index", 0 }, { "text", token.text }, { "token_ids", { token.id } }, { "position", position },
        { "finish_reason", nullptr } };
    if (position + 1 == m_request.maxTokens)
        choice["finish_reason"] = "length";
    json event { { "id", m_request.id }, { "object", "text_completion" }, { "model", m_request.model },
        { "choices", json::array({ choice }) } };
    if (!position)
        event["prompt_token_ids"] = m_request.promptIds;
    return event.dump();
}

} // namespace lupinknot::internal
