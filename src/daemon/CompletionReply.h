// Gives one caller the answer of a generation: streamed, or whole at its end.
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
    // Position after which a returning caller goes on.
    std::size_t position { 0 };
};

// Thread-safe. The status of the response is chosen when the first token or the end is there, so that a generation that
// fails before its first token gets a proper refusal. A caller reads from the generation's own tokens by position: a
// slow one costs no memory of its own and delays nobody.
class CompletionReply final : public GenerationWatcher,
                              public HttpBodySource,
                              public std::enable_shared_from_this<CompletionReply> {
public:
    CompletionReply(std::shared_ptr<HttpExchange>, std::shared_ptr<LiveGeneration>, const GenerationContext&,
        CompletionReplyOptions);

    // Attaches to the generation and answers when there is something to say.
    void start();

    // GenerationWatcher; under the generation's lock.
    void progressed() override;
    // HttpBodySource; on the connection's thread.
    HttpBodyPiece next() override;

private:
    void advance();
    void answerWhole(const GenerationSlice&);
    void beginStream();
    void refuse(const GenerationError&);
    void finish(unsigned status);
    void callerGone();
    CompletionIdentity identity() const;
    CompletionUsage usage(std::size_t completionTokens) const;

    const std::shared_ptr<HttpExchange> m_exchange;
    const std::shared_ptr<LiveGeneration> m_generation;
    const GenerationContext m_context;
    const CompletionReplyOptions m_options;
    std::atomic<bool> m_isStreaming { false };
    std::atomic<bool> m_isAdvancePending { false };
    std::mutex m_mutex;
    // Both under the lock.
    std::size_t m_position;
    bool m_isAnswered { false };
};

} // namespace lupinknot::internal
