// One stream that a stand-in engine runs.
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

// What a request asks of the engine.
struct EngineStreamRequest {
    std::string id;
    std::string model;
    std::vector<TokenId> promptIds;
    std::size_t maxTokens { 16 };
    std::int64_t priority { 0 };
    // How long the stream runs on without a connection; zero cancels it with its connection.
    Milliseconds keepOnDisconnect { 0 };
};

// Thread-safe, under one lock of its own. It keeps its tokens, so that a reader may attach at any position.
class EngineStream : public std::enable_shared_from_this<EngineStream> {
public:
    EngineStream(EngineStreamRequest, Milliseconds readyAt);

    const EngineStreamRequest& request() const { return m_request; }
    // When the prefill is done.
    Milliseconds readyAt() const { return m_readyAt; }

    // Sends the tokens from a position on to an exchange; a reader before it gets no more.
    void attach(const std::shared_ptr<HttpExchange>&, std::size_t position);
    // Notes that an exchange is gone. Returns false when another one has taken its place.
    bool detach(const HttpExchange&);
    bool isAttached() const;

    // Makes the next token, and at the last one the end.
    void step();
    // Makes a fault's bytes the next thing sent, and ends the stream behind them.
    void breakOff(const std::string& bytes);
    // Leaves out one token of what is sent.
    void skipOne();
    std::size_t producedCount() const;
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
    std::optional<std::string> m_brokenEnd;
    std::optional<std::size_t> m_skipped;
};

} // namespace lupinknot::internal
