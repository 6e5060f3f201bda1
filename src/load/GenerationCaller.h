// One caller of the load tool: asks for an answer, checks it token by token, and comes back when its VM is lost.
#pragma once

#include "http/HttpCallListener.h"
#include "http/HttpRequest.h"
#include "http/SseParser.h"
#include "load/GenerationResult.h"
#include "load/LoadOptions.h"
#include "lupinknot/MonotonicClock.h"
#include "standin/TokenSequence.h"
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace lupinknot::internal {

class HttpCall;

struct GenerationCallerOptions {
    std::vector<TokenId> promptIds;
    std::size_t maxTokens { 16 };
    std::string model;
    // Empty for none; a caller without a key cannot come back.
    std::string idempotencyKey;
    bool repeatable { true };
    std::size_t firstDaemon { 0 };
    // The caller leaves after this many tokens.
    std::optional<std::size_t> leaveAfter;
    // Hears of each token; for the story on the screen.
    std::function<void(std::size_t position, const Token&)> onToken;
};

// run() waits on the calling thread; the rest is called by the client's pool, one call at a time.
class GenerationCaller final : public HttpCallListener, public std::enable_shared_from_this<GenerationCaller> {
public:
    GenerationCaller(const LoadOptions&, GenerationCallerOptions);

    GenerationResult run();

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    enum class Phase {
        Running,
        Ended, // The connection has ended; the answer may or may not be whole.
    };

    void connect(std::size_t daemon);
    HttpRequest request() const;
    bool mayReconnect() const;
    void takeEvent(const SseEvent&);
    void takeToken(const std::string& id, const Token&);
    void takeRefusal();
    void endPhase();

    const LoadOptions& m_load;
    const GenerationCallerOptions m_options;
    const MonotonicClock m_clock;
    TokenSequence m_expected;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    // All that follows is under the lock.
    Phase m_phase { Phase::Running };
    std::shared_ptr<HttpCall> m_call;
    SseParser m_parser;
    std::string m_body;
    bool m_hasFinish { false };
    bool m_hasDone { false };
    GenerationResult m_result;
    // When the caller last came back, until the next token.
    std::optional<Milliseconds> m_reconnectedAt;
};

} // namespace lupinknot::internal
