// One token stream that a stand-in engine generates.
#pragma once

#include "http/HttpBodySource.h"
#include "lupinknot/Clock.h"
#include "standin/TokenSequence.h"
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace lupinknot::internal {

class HttpExchange;

// A parsed request to the engine.
struct EngineStreamRequest {
    std::string id;
    std::string model;
    std::vector<TokenId> promptIds;
    std::size_t maxTokens { 16 };
    std::int64_t priority { 0 };
    // How long the stream continues without a connection; 0 cancels it when its connection is lost.
    Milliseconds keepOnDisconnect { 0 };
};

// Thread-safe; each stream has its own lock. A stream keeps its tokens, so that a reader may attach at any position.
class EngineStream : public std::enable_shared_from_this<EngineStream> {
public:
    EngineStream(EngineStreamRequest, Milliseconds readyAt);

    const EngineStreamRequest& request() const { return m_request; }
    // The time at which the prefill is complete.
    Milliseconds readyAt() const { return m_readyAt; }

    // Sends the tokens from a position on to an exchange, which replaces the previous reader.
    void attach(const std::shared_ptr<HttpExchange>&, std::size_t position);
    // Records that an exchange was closed. Returns false if another exchange has replaced it.
    bool detach(const HttpExchange&);
    bool isAttached() const;

    // Generates the next token, and ends the stream after the last one.
    void step();
    // Sends the bytes of an injected fault next and ends the stream after them.
    void endWithFault(const std::string& bytes);
    // Omits the next token from the output.
    void omitNextToken();
    std::size_t generatedCount() const;
    bool isComplete() const;

private:
    class Reader;

    std::string eventsFrom(std::size_t position) const;
    std::string eventOf(std::size_t position) const;
    bool isEnded() const { return m_tokens.size() >= m_request.maxTokens; }

    const EngineStreamRequest m_request;
    const Milliseconds m_readyAt;
    mutable std::mutex m_mutex;
    TokenSequence m_sequence;
    std::vector<Token> m_tokens;
    std::shared_ptr<HttpExchange> m_exchange;
    std::optional<std::string> m_faultBytes;
    std::optional<std::size_t> m_omittedPosition;
};

} // namespace lupinknot::internal
