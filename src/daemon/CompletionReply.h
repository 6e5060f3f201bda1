// Sends a generation's answer to one caller: streamed, or complete at its end.
#pragma once

#include "daemon/CompletionFormat.h"
#include "daemon/GenerationContext.h"
#include "daemon/GenerationWatcher.h"
#include "http/HttpBodySource.h"
#include <atomic>
#include <memory>
#include <mutex>

namespace lupinknot::internal {

class HttpExchange;
class LiveGeneration;

struct CompletionReplyOptions {
    bool wantsStream { false };
    // Number of tokens that a returning caller already has.
    std::size_t position { 0 };
};

// Thread-safe. The response status is chosen when the first token or the end arrives, so that a generation that fails
// before its first token gets an error status. The reply reads the generation's own tokens by position, so a slow
// caller needs no buffer and delays no other caller.
class CompletionReply final : public GenerationWatcher,
                              public HttpBodySource,
                              public std::enable_shared_from_this<CompletionReply> {
public:
    CompletionReply(std::shared_ptr<HttpExchange>, std::shared_ptr<LiveGeneration>, const GenerationContext&,
        CompletionReplyOptions);

    // Attaches to the generation, and responds once there is a token or an end.
    void start();

    // GenerationWatcher. Called under the generation's lock.
    void progressed() override;
    // HttpBodySource. Called on the connection's thread.
    HttpBodyPiece next() override;

private:
    void advance();
    void respondWithCompleteAnswer(const GenerationSlice&);
    void beginStream();
    void refuse(const GenerationError&);
    void finish(unsigned status);
    void callerDisconnected();
    CompletionIdentity identity() const;
    CompletionUsage usage(std::size_t completionTokens) const;

    const std::shared_ptr<HttpExchange> m_exchange;
    const std::shared_ptr<LiveGeneration> m_generation;
    const GenerationContext m_context;
    const CompletionReplyOptions m_options;
    std::atomic<bool> m_isStreaming { false };
    std::atomic<bool> m_isAdvancePending { false };
    std::mutex m_mutex;
    // Both members below are guarded by the lock.
    std::size_t m_position;
    bool m_isOver { false };
};

} // namespace lupinknot::internal
