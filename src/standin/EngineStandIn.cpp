#include "standin/EngineStandIn.h"

#include "common/Log.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr std::string_view streamsPath = "/v1/streams/";
constexpr std::int64_t microsecondsInMillisecond = 1000;
constexpr int exitKilled = 137;
constexpr std::size_t maxAttachableStreams = 10000;

HttpResponse jsonResponse(const json& body) { return { 200, { { "Content-Type", "application/json" } }, body.dump() }; }

HttpResponse jsonError(unsigned status, const std::string& code, const std::string& message)
{
    return errorResponse({ status, code, message, "", status == 503 ? RunOutcome::NotRun : RunOutcome::Unknown, {} });
}

std::optional<EngineStreamRequest> parseRequest(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("prompt"))
        return std::nullopt;
    EngineStreamRequest request;
    request.id = body.value("request_id", std::string {});
    request.model = body.value("model", std::string {});
    request.maxTokens = body.value("max_tokens", request.maxTokens);
    request.priority = body.value("priority", request.priority);
    request.keepOnDisconnect = Milliseconds { body.value("keep_on_disconnect_ms", std::int64_t { 0 }) };
    const auto& prompt = body["prompt"];
    request.promptIds = prompt.is_string() ? tokenize(prompt.get<std::string>()) : prompt.get<std::vector<TokenId>>();
    return request;
}

std::string streamIdOf(const HttpRequest& request) { return std::string(request.path().substr(streamsPath.size())); }

} // namespace

EngineStandIn::EngineStandIn(EngineStandInSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_cache(static_cast<std::size_t>(m_settings.cacheTokens))
    , m_server(m_settings.address, m_settings.port, [this](const auto& exchange) { handle(exchange); })
    , m_stepTimer(m_server.ioContext())
{
}

EngineStandIn::~EngineStandIn()
{
    m_server.stop();
    // Streams hold connections of the server's io_context, which is destroyed before the members declared above it.
    m_streams.clear();
    m_attachableStreams.clear();
}

std::optional<std::string> EngineStandIn::start()
{
    if (auto problem = m_server.start())
        return problem;
    const std::lock_guard lock(m_mutex);
    scheduleStep();
    return std::nullopt;
}

EngineStandIn::Work EngineStandIn::work() const
{
    const std::lock_guard lock(m_mutex);
    return m_work;
}

std::size_t EngineStandIn::activeStreams() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

void EngineStandIn::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto wait = pauseLeft();
    if (wait <= Milliseconds::zero()) {
        dispatch(exchange);
        return;
    }
    // A paused process does not respond; the operating system buffers the data sent to it.
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_server.ioContext(), wait);
    timer->async_wait([this, exchange, timer](boost::system::error_code error) {
        if (!error)
            dispatch(exchange);
    });
}

Milliseconds EngineStandIn::pauseLeft() const
{
    const std::lock_guard lock(m_mutex);
    return m_pausedUntil - m_clock.now();
}

void EngineStandIn::dispatch(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto path = request.path();
    if (request.method == "POST" && path == "/v1/completions")
        complete(exchange);
    else if (request.method == "GET" && path.substr(0, streamsPath.size()) == streamsPath)
        reattach(exchange);
    else if (request.method == "DELETE" && path.substr(0, streamsPath.size()) == streamsPath)
        cancelById(exchange);
    else if (request.method == "GET" && path == "/load")
        exchange->respond(load());
    else if (request.method == "GET" && path == "/stats")
        exchange->respond(stats());
    else if (request.method == "POST" && path == "/control")
        exchange->respond(handleControl(request.body));
    else
        exchange->respond(jsonError(404, "not_found", "nothing is here"));
}

void EngineStandIn::complete(const std::shared_ptr<HttpExchange>& exchange)
{
    auto request = parseRequest(exchange->request().body);
    const std::lock_guard lock(m_mutex);
    const bool isFull = m_streams.size() >= static_cast<std::size_t>(m_settings.maxBatch + m_settings.maxQueue);
    if (m_faults.refusesWork || isFull)
        exchange->respond(jsonError(503, "overloaded", "the engine takes no more work"));
    else if (m_faults.failsWork)
        exchange->respond(jsonError(500, "failed", "the engine has failed"));
    else if (!request || request->model != m_settings.model)
        exchange->respond(jsonError(400, "bad_request", "the request cannot be read, or the model is not served"));
    else
        admit(exchange, std::move(*request));
}

void EngineStandIn::admit(const std::shared_ptr<HttpExchange>& exchange, EngineStreamRequest request)
{
    const auto now = m_clock.now();
    const auto cached = m_cache.reuse(request.promptIds);
    const auto uncached = request.promptIds.size() - cached;
    const Milliseconds prefill { static_cast<std::int64_t>(uncached) * m_settings.prefillMicroseconds
        / microsecondsInMillisecond };
    m_prefillFreeAt = std::max(m_prefillFreeAt, now) + prefill;
    ++m_work.requests;
    m_work.prefillTokens += uncached;
    m_work.cachedTokens += cached;
    auto& work = m_requestWork[request.id];
    work.prefillTokens += uncached;
    work.admittedAt = now;

    const auto stream = std::make_shared<EngineStream>(std::move(request), m_prefillFreeAt);
    m_streams.push_back(stream);
    if (stream->request().keepOnDisconnect > Milliseconds::zero() && m_attachableStreams.size() < maxAttachableStreams)
        m_attachableStreams[stream->request().id] = stream;
    attach(stream, exchange, 0);
}

void EngineStandIn::attach(
    const std::shared_ptr<EngineStream>& stream, const std::shared_ptr<HttpExchange>& exchange, std::size_t position)
{
    exchange->onPeerDisconnected([this, stream, raw = exchange.get()] { handleDisconnect(stream, *raw); });
    stream->attach(exchange, position);
}

void EngineStandIn::reattach(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& target = exchange->request().target;
    const auto from = target.find("?from=");
    const auto position = from == std::string::npos ? 0 : std::strtoul(target.c_str() + from + 6, nullptr, 10);
    const std::lock_guard lock(m_mutex);
    const auto entry = m_attachableStreams.find(streamIdOf(exchange->request()));
    if (entry == m_attachableStreams.end() || position > entry->second->generatedCount()) {
        exchange->respond(jsonError(404, "no_stream", "no such stream, or not that far"));
        return;
    }
    attach(entry->second, exchange, position);
}

void EngineStandIn::cancelById(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto id = streamIdOf(exchange->request());
    const std::lock_guard lock(m_mutex);
    const auto hasId = [&id](const std::shared_ptr<EngineStream>& stream) { return stream->request().id == id; };
    const auto stream = std::find_if(m_streams.begin(), m_streams.end(), hasId);
    if (stream != m_streams.end())
        cancel(std::shared_ptr<EngineStream>(*stream));
    m_attachableStreams.erase(id);
    exchange->respond(jsonResponse({ { "cancelled", id } }));
}

void EngineStandIn::handleDisconnect(const std::shared_ptr<EngineStream>& stream, const HttpExchange& exchange)
{
    const std::lock_guard lock(m_mutex);
    if (!stream->detach(exchange))
        return;
    const auto keep = stream->request().keepOnDisconnect;
    if (keep == Milliseconds::zero()) {
        cancel(stream);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_server.ioContext(), keep);
    timer->async_wait([this, stream, timer](boost::system::error_code error) {
        if (error)
            return;
        const std::lock_guard timerLock(m_mutex);
        if (!stream->isAttached())
            cancel(stream);
    });
}

void EngineStandIn::cancel(const std::shared_ptr<EngineStream>& stream)
{
    m_attachableStreams.erase(stream->request().id);
    const auto entry = std::find(m_streams.begin(), m_streams.end(), stream);
    if (entry == m_streams.end())
        return;
    m_streams.erase(entry);
    ++m_work.cancelled;
}

HttpResponse EngineStandIn::load() const
{
    const std::lock_guard lock(m_mutex);
    // The newest sample that is at least as old as the load lag.
    const auto horizon = m_clock.now() - m_settings.loadLag;
    std::size_t active = 0;
    for (const auto& sample : m_loadSamples) {
        if (sample.at <= horizon)
            active = sample.active;
    }
    return jsonResponse({ { "active", active }, { "max_batch", m_settings.maxBatch } });
}

HttpResponse EngineStandIn::stats() const
{
    const std::lock_guard lock(m_mutex);
    json requests = json::object();
    for (const auto& entry : m_requestWork)
        requests[entry.first]
            = { { "prefill_tokens", entry.second.prefillTokens }, { "decoded_tokens", entry.second.decodedTokens },
                  { "first_token_ms", entry.second.firstTokenTime.count() } };
    return jsonResponse({ { "name", m_settings.name }, { "active", m_streams.size() }, { "requests", m_work.requests },
        { "prefill_tokens", m_work.prefillTokens }, { "cached_tokens", m_work.cachedTokens },
        { "decoded_tokens", m_work.decodedTokens }, { "cancelled", m_work.cancelled }, { "by_request", requests } });
}

HttpResponse EngineStandIn::handleControl(const std::string& text)
{
    if (control(text))
        return jsonResponse({ { "ok", true } });
    return jsonError(400, "bad_control", "the control call cannot be read");
}

bool EngineStandIn::control(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return false;
    const std::lock_guard lock(m_mutex);
    const auto position = [&body](const char* name, std::optional<std::size_t>& field) {
        if (body.contains(name))
            field = body[name].get<std::size_t>();
    };
    position("crash_at", m_faults.crashAt);
    position("end_early_at", m_faults.endEarlyAt);
    position("malformed_at", m_faults.malformedAt);
    position("skip_at", m_faults.skipAt);
    position("pause_at", m_faults.pauseAt);
    m_faults.downTime = Milliseconds { body.value("down_ms", m_faults.downTime.count()) };
    m_faults.pauseTime = Milliseconds { body.value("pause_ms", m_faults.pauseTime.count()) };
    m_faults.refusesWork = body.value("refuse", m_faults.refusesWork);
    m_faults.failsWork = body.value("fail", m_faults.failsWork);
    m_faults.slowFactor = body.value("slow", m_faults.slowFactor);
    // Ends the process at once, as SIGKILL does.
    if (body.value("die", false))
        std::_Exit(exitKilled);
    if (body.value("crash", false))
        crash();
    if (body.value("pause", false))
        pause(m_faults.pauseTime);
    return true;
}

void EngineStandIn::scheduleStep()
{
    m_stepTimer.expires_after(nextStepTime());
    m_stepTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        const std::lock_guard lock(m_mutex);
        step();
        scheduleStep();
    });
}

Milliseconds EngineStandIn::nextStepTime()
{
    std::uniform_real_distribution<double> noise(1 - m_settings.jitter, 1 + m_settings.jitter);
    std::uniform_real_distribution<double> chance(0, 1);
    auto time = static_cast<double>(m_settings.step.count()) * noise(m_random) * m_faults.slowFactor;
    if (chance(m_random) < m_settings.stallChance)
        time += chance(m_random) * static_cast<double>(m_settings.longestStall.count());
    return Milliseconds { std::max<std::int64_t>(1, std::llround(time)) };
}

void EngineStandIn::step()
{
    const auto now = m_clock.now();
    if (now < m_pausedUntil)
        return;
    for (const auto& stream : batch()) {
        if (stream->readyAt() <= now)
            stepStream(*stream);
        if (m_streams.empty())
            break;
    }
    const auto isComplete = [](const std::shared_ptr<EngineStream>& stream) { return stream->isComplete(); };
    m_streams.erase(std::remove_if(m_streams.begin(), m_streams.end(), isComplete), m_streams.end());
    m_loadSamples.push_back({ now, m_streams.size() });
    while (m_loadSamples.size() > 1 && m_loadSamples[1].at <= now - m_settings.loadLag)
        m_loadSamples.pop_front();
}

void EngineStandIn::stepStream(EngineStream& stream)
{
    injectDueFaults(stream);
    if (stream.isComplete() || m_streams.empty() || m_clock.now() < m_pausedUntil)
        return;
    stream.step();
    ++m_work.decodedTokens;
    auto& work = m_requestWork[stream.request().id];
    if (!work.decodedTokens)
        work.firstTokenTime = m_clock.now() - work.admittedAt;
    ++work.decodedTokens;
}

// Injects the faults that are due at the stream's number of tokens.
void EngineStandIn::injectDueFaults(EngineStream& stream)
{
    const auto isDue = [&stream](std::optional<std::size_t>& at) {
        const bool due = at && *at <= stream.generatedCount();
        if (due)
            at.reset();
        return due;
    };
    if (isDue(m_faults.skipAt))
        stream.omitNextToken();
    if (isDue(m_faults.endEarlyAt))
        stream.endWithFault("");
    if (isDue(m_faults.malformedAt))
        stream.endWithFault("data: {not json\n\n");
    if (isDue(m_faults.pauseAt))
        pause(m_faults.pauseTime);
    if (isDue(m_faults.crashAt))
        crash();
}

void EngineStandIn::crash()
{
    m_streams.clear();
    m_attachableStreams.clear();
    m_cache.clear();
    m_prefillFreeAt = Milliseconds { 0 };
    m_server.crash(m_faults.downTime);
}

void EngineStandIn::pause(Milliseconds time) { m_pausedUntil = m_clock.now() + time; }

// The streams of one step, most urgent first, up to the batch size.
EngineStandIn::Streams EngineStandIn::batch() const
{
    auto streams = m_streams;
    const auto isMoreUrgent = [](const std::shared_ptr<EngineStream>& a, const std::shared_ptr<EngineStream>& b) {
        return a->request().priority < b->request().priority;
    };
    std::stable_sort(streams.begin(), streams.end(), isMoreUrgent);
    if (streams.size() > static_cast<std::size_t>(m_settings.maxBatch))
        streams.resize(static_cast<std::size_t>(m_settings.maxBatch));
    return streams;
}

} // namespace lupinknot::internal
