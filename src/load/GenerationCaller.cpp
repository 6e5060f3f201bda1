#include "load/GenerationCaller.h"

#include "http/HttpCall.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr Milliseconds callTimeout { 120000 };
constexpr Milliseconds reconnectPause { 20 };
constexpr std::size_t maxReconnects = 100;
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;

std::string baseOf(const std::string& generation) { return generation.substr(0, generation.find('~')); }

} // namespace

GenerationCaller::GenerationCaller(const LoadOptions& load, GenerationCallerOptions options)
    : m_load(load)
    , m_options(std::move(options))
    , m_expected(m_options.promptIds)
{
}

GenerationResult GenerationCaller::run()
{
    std::unique_lock lock(m_mutex);
    m_result.startedAt = m_clock.now();
    auto daemon = m_options.firstDaemon;
    connect(daemon);
    for (;;) {
        m_condition.wait(lock, [this] { return m_phase == Phase::Ended; });
        if (!mayReconnect())
            break;
        ++m_result.reconnects;
        lock.unlock();
        std::this_thread::sleep_for(reconnectPause);
        lock.lock();
        daemon = (daemon + 1) % m_load.daemons.size();
        m_reconnectedAt = m_clock.now();
        connect(daemon);
    }
    m_result.missing = m_options.maxTokens - std::min(m_options.maxTokens, m_result.delivered);
    const bool isExact = !m_result.missing && !m_result.repeated && !m_result.mixed;
    m_result.isComplete = isExact && m_hasFinish && m_hasDone;
    m_call.reset();
    return m_result;
}

void GenerationCaller::connect(std::size_t daemon)
{
    m_phase = Phase::Running;
    m_parser = {};
    m_body.clear();
    m_result.daemon = daemon;
    m_result.status = 0;
    m_result.error.clear();
    m_result.outcome.clear();
    m_call = HttpCall::start(m_load.daemons[daemon].callers, request(), callTimeout, shared_from_this());
}

HttpRequest GenerationCaller::request() const
{
    const json body { { "model", m_options.model }, { "prompt", m_options.promptIds },
        { "max_tokens", m_options.maxTokens }, { "stream", true } };
    HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body.dump() };
    if (!m_options.repeatable)
        request.headers.add("Lupinknot-Repeatable", "false");
    if (m_options.idempotencyKey.empty())
        return request;
    request.headers.add("Idempotency-Key", m_options.idempotencyKey);
    if (m_result.delivered)
        request.headers.add("Last-Event-ID", m_result.generation + ":" + std::to_string(m_result.delivered));
    return request;
}

// A caller with a key reconnects after a lost connection, after a refusal with 503 as not run, and after a takeover.
bool GenerationCaller::mayReconnect() const
{
    if (m_options.idempotencyKey.empty() || m_result.hasDisconnected || m_hasDone
        || m_result.reconnects >= maxReconnects)
        return false;
    const bool isLost = m_result.status == 0 || m_result.status == statusOk;
    const bool isRefused = m_result.status == statusUnavailable && m_result.outcome == "not-run";
    const bool isTakenOver = m_result.error.find("\"taken_over\"") != std::string::npos;
    return (isLost && m_result.outcome.empty()) || isRefused || isTakenOver;
}

void GenerationCaller::headerArrived(unsigned status, const HttpHeaders& headers)
{
    const std::lock_guard lock(m_mutex);
    m_result.status = status;
    m_result.outcome = headers.find("Lupinknot-Outcome").value_or("");
}

void GenerationCaller::bodyArrived(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_result.status != statusOk) {
        m_body.append(piece);
        return;
    }
    std::vector<SseEvent> events;
    m_parser.feed(piece, events);
    for (const auto& event : events)
        handleEvent(event);
}

void GenerationCaller::ended()
{
    const std::lock_guard lock(m_mutex);
    if (m_result.status != statusOk)
        m_result.error = m_body;
    endPhase();
}

void GenerationCaller::failed(HttpCallFailure failure, const std::string&)
{
    const std::lock_guard lock(m_mutex);
    m_result.error = nameIn(httpCallFailureNames, failure);
    endPhase();
}

void GenerationCaller::handleEvent(const SseEvent& event)
{
    if (event.data == "[DONE]") {
        m_hasDone = true;
        return;
    }
    const auto body = json::parse(event.data, nullptr, false);
    if (event.name == "error") {
        m_result.error = event.data;
        m_result.outcome = body.is_object() ? body["error"].value("outcome", "") : "";
        return;
    }
    const auto& choice = body["choices"][0];
    if (!choice["finish_reason"].is_null()) {
        m_hasFinish = true;
        return;
    }
    handleToken(event.id, { choice["token_ids"][0].get<TokenId>(), choice["text"].get<std::string>() });
}

void GenerationCaller::handleToken(const std::string& id, const Token& token)
{
    const auto colon = id.rfind(':');
    const auto generation = id.substr(0, colon);
    // A VM that takes the generation over appends a suffix to its id.
    const bool isSameGeneration = baseOf(generation) == baseOf(m_result.generation);
    const auto count = std::strtoul(id.c_str() + colon + 1, nullptr, 10);
    if (m_result.generation.empty())
        m_result.generation = generation;
    if (count <= m_result.delivered) {
        ++m_result.repeated;
        return;
    }
    const auto expected = m_expected.next();
    const bool isExpected = (isSameGeneration || !m_result.delivered) && count == m_result.delivered + 1
        && token.id == expected.id && token.text == expected.text;
    m_result.mixed += isExpected ? 0 : 1;
    m_result.generation = generation;
    m_expected.push(expected.id);
    ++m_result.delivered;
    m_result.arrivals.push_back(m_clock.now());
    if (m_reconnectedAt)
        m_result.reconnectWaits.push_back(m_clock.now() - *m_reconnectedAt);
    m_reconnectedAt.reset();
    if (m_options.onToken)
        m_options.onToken(m_result.delivered - 1, token);
    if (m_options.disconnectAfter == m_result.delivered) {
        m_result.hasDisconnected = true;
        m_call->cancel();
    }
}

void GenerationCaller::endPhase()
{
    m_phase = Phase::Ended;
    m_condition.notify_all();
}

} // namespace lupinknot::internal
