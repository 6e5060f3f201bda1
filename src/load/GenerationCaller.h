// One caller of the load tool: requests a generation, checks it token by token, and reconnects when its VM is lost.
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
    // Empty for none; a caller without a key cannot reconnect.
    std::string idempotencyKey;
    bool repeatable { true };
    std::size_t firstDaemon { 0 };
    // The caller disconnects after this many tokens.
    std::optional<std::size_t> disconnectAfter;
    // Called for each token, for example to print it.
    std::function<void(std::size_t position, const Token&)> onToken;
};

// run() blocks the calling thread; threads of the HTTP client's pool call the other functions, one call at a time.
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
        Ended, // The connection has ended; the response may be incomplete.
    };

    void connect(std::size_t daemon);
    HttpRequest request() const;
    bool mayReconnect() const;
    void handleEvent(const SseEvent&);
    void handleToken(const std::string& id, const Token&);
    void handleRefusal();
    void endPhase();

    const LoadOptions& m_load;
    const GenerationCallerOptions m_options;
    const MonotonicClock m_clock;
    TokenSequence m_expected;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    // m_mutex protects the members below.
    Phase m_phase { Phase::Running };
    std::shared_ptr<HttpCall> m_call;
    SseParser m_parser;
    std::string m_body;
    bool m_hasFinish { false };
    bool m_hasDone { false };
    GenerationResult m_result;
    // Time of the last reconnect; empty once a token has arrived after it.
    std::optional<Milliseconds> m_reconnectedAt;
};

} // namespace lupinknot::internal
