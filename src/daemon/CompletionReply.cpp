#include "daemon/CompletionReply.h"

#include "common/Log.h"
#include "daemon/LiveGeneration.h"
#include "daemon/Metrics.h"
#include "http/HttpExchange.h"

#include <boost/asio/post.hpp>
#include <limits>

namespace lupinknot::internal {

namespace {

// Limits the memory that one flush needs.
constexpr std::size_t maxTokensInFlush = 256;
constexpr unsigned statusOk = 200;
constexpr auto requestKind = "completion";

} // namespace

CompletionReply::CompletionReply(std::shared_ptr<HttpExchange> exchange, std::shared_ptr<LiveGeneration> generation,
    const GenerationContext& context, CompletionReplyOptions options)
    : m_exchange(std::move(exchange))
    , m_generation(std::move(generation))
    , m_context(context)
    , m_options(options)
    , m_position(options.position)
{
}

void CompletionReply::start()
{
    m_exchange->onPeerDisconnected([self = shared_from_this()] { self->callerDisconnected(); });
    m_generation->attach(shared_from_this());
}

void CompletionReply::progressed()
{
    if (m_isStreaming) {
        m_exchange->wake();
        return;
    }
    // The caller holds the generation's lock, and advance() reads from the generation.
    if (!m_isAdvancePending.exchange(true))
        boost::asio::post(m_context.ioContext, [self = shared_from_this()] { self->advance(); });
}

HttpBodyPiece CompletionReply::next()
{
    const std::lock_guard lock(m_mutex);
    const auto slice = m_generation->read(m_position, maxTokensInFlush);
    HttpBodyPiece piece { tokenEvents(identity(), m_position, slice.tokens), false };
    m_position += slice.tokens.size();
    if (slice.error) {
        const auto refusal = errorForCaller(*slice.error, m_context.settings.generation.retryAfter);
        piece.bytes.append(errorEvent(refusal));
        m_context.metrics.countRefusal(refusal.outcome);
    } else if (slice.finishReason) {
        piece.bytes.append(finishEvents(identity(), *slice.finishReason, usage(m_position)));
    }
    piece.isLast = slice.error || slice.finishReason;
    if (piece.isLast)
        finish(statusOk);
    return piece;
}

void CompletionReply::advance()
{
    const std::lock_guard lock(m_mutex);
    m_isAdvancePending = false;
    if (m_isOver || m_isStreaming)
        return;
    const auto start = m_options.wantsStream ? m_position : 0;
    const auto limit = m_options.wantsStream ? 1 : std::numeric_limits<std::size_t>::max() - start;
    const auto slice = m_generation->read(start, limit);
    const bool hasNothing = slice.tokens.empty() || !m_options.wantsStream;
    if (slice.error && hasNothing)
        refuse(*slice.error);
    else if (!m_options.wantsStream && slice.finishReason)
        respondWithCompleteAnswer(slice);
    else if (m_options.wantsStream && (!slice.tokens.empty() || slice.finishReason))
        beginStream();
}

void CompletionReply::respondWithCompleteAnswer(const GenerationSlice& slice)
{
    HttpResponse response;
    response.headers.add("Content-Type", "application/json");
    response.body = completionBody(identity(), slice.tokens, *slice.finishReason, usage(slice.tokens.size()));
    m_exchange->respond(std::move(response));
    finish(statusOk);
}

void CompletionReply::beginStream()
{
    HttpResponse header;
    header.headers.add("Content-Type", "text/event-stream");
    header.headers.add("Cache-Control", "no-store");
    m_isStreaming = true;
    m_exchange->stream(std::move(header), shared_from_this());
}

void CompletionReply::refuse(const GenerationError& error)
{
    const auto refusal = errorForCaller(error, m_context.settings.generation.retryAfter);
    m_context.metrics.countRefusal(refusal.outcome);
    m_exchange->respond(errorResponse(refusal));
    finish(refusal.status);
}

void CompletionReply::finish(unsigned status)
{
    m_isOver = true;
    m_context.metrics.countRequest(requestKind, status);
    m_generation->detach(*this);
}

void CompletionReply::callerDisconnected()
{
    const std::lock_guard lock(m_mutex);
    if (m_isOver)
        return;
    m_isOver = true;
    logInfo(LogComponent::Caller,
        "the caller of generation " + m_generation->id() + " disconnected at position " + std::to_string(m_position)
            + ".");
    m_generation->detach(*this);
}

CompletionIdentity CompletionReply::identity() const { return { m_generation->id(), m_generation->request().model }; }

CompletionUsage CompletionReply::usage(std::size_t completionTokens) const
{
    return { m_generation->promptLength(), completionTokens };
}

} // namespace lupinknot::internal
