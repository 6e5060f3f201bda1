#include "load/LoadRun.h"

#include "http/HttpFetch.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr Milliseconds statsTimeout { 5000 };
constexpr Milliseconds quickTimeout { 10000 };
constexpr TokenId vocabularySize = 50000;

std::optional<json> fetchJson(const SocketAddress& address, const std::string& target)
{
    const auto result = fetch(address, { "GET", target, {}, {} }, statsTimeout);
    auto body = json::parse(result.response.body, nullptr, false);
    if (!result.isOk() || !body.is_object())
        return std::nullopt;
    return body;
}

bool control(const SocketAddress& standIn, const std::string& text)
{
    const HttpRequest request { "POST", "/control", { { "Content-Type", "application/json" } }, text };
    return fetch(standIn, request, statsTimeout).isOk();
}

} // namespace

LoadRun::LoadRun(const LoadOptions& options, LoadReport& report)
    : m_options(options)
    , m_report(report)
    , m_random(options.seed)
{
}

LoadRun::~LoadRun() { stopQuickCalls(); }

void LoadRun::runGenerations(std::size_t count, const std::function<void(GenerationCallerOptions&, std::size_t)>& adapt)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    const auto work = [&] {
        for (auto index = next++; index < count; index = next++) {
            auto caller = newCaller();
            if (adapt)
                adapt(caller, index);
            runOne(std::move(caller));
        }
    };
    for (std::size_t i = 0; i < std::min(m_options.concurrency, count); ++i)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
}

GenerationResult LoadRun::runOne(GenerationCallerOptions options)
{
    const auto promptTokens = options.promptIds.size();
    auto result = std::make_shared<GenerationCaller>(m_options, std::move(options))->run();
    record(result, promptTokens);
    return result;
}

GenerationCallerOptions LoadRun::newCaller()
{
    const std::lock_guard lock(m_mutex);
    std::uniform_int_distribution<TokenId> drawId(0, vocabularySize - 1);
    GenerationCallerOptions caller;
    for (std::size_t i = 0; i < m_options.promptTokens; ++i)
        caller.promptIds.push_back(drawId(m_random));
    caller.maxTokens = m_options.maxTokens;
    caller.model = m_options.model;
    caller.idempotencyKey = "load-" + std::to_string(m_options.seed) + "-" + std::to_string(m_nextKey);
    caller.firstDaemon = m_nextKey++ % m_options.daemons.size();
    return caller;
}

void LoadRun::startQuickCalls()
{
    if (m_options.services.empty() || m_quickRunning.exchange(true))
        return;
    m_quickThread = std::thread([this] { quickCallLoop(); });
}

void LoadRun::stopQuickCalls()
{
    m_quickRunning = false;
    if (m_quickThread.joinable())
        m_quickThread.join();
}

void LoadRun::quickCallLoop()
{
    for (std::size_t i = 0; m_quickRunning; ++i) {
        const auto workId = "quick-" + std::to_string(i);
        const HttpRequest request { "POST", "/thumbs/quick",
            { { "X-Work-Id", workId }, { "Lupinknot-Repeatable", i % 2 ? "false" : "true" },
                { "Content-Type", "text/plain" } },
            "thumb" };
        const auto start = std::chrono::steady_clock::now();
        const auto result = fetch(m_options.daemons[i % m_options.daemons.size()].callers, request, quickTimeout);
        const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
        {
            const std::lock_guard lock(m_mutex);
            m_report.quick.push_back(time.count());
            m_report.quickErrors += result.isOk() ? 0 : 1;
            m_quickOutcomes[workId] = result.response.headers.find("Lupinknot-Outcome").value_or("");
        }
        std::this_thread::sleep_for(m_options.quickInterval);
    }
}

bool LoadRun::controlEngine(std::size_t engine, const std::string& text)
{
    return control(m_options.engines[engine], text);
}

bool LoadRun::controlPlatform(const std::string& text)
{
    const bool isDone = !m_options.platforms.empty() && control(m_options.platforms.front(), text);
    expect(isDone, "the platform stand-in did not accept the control call");
    return isDone;
}

void LoadRun::killEngine(std::size_t engine)
{
    addEngineStats(engine);
    controlEngine(engine, R"({"die": true})");
}

std::size_t LoadRun::activeStreams(std::size_t engine)
{
    const auto stats = fetchJson(m_options.engines[engine], "/stats");
    return stats ? stats->value("active", std::size_t { 0 }) : 0;
}

std::size_t LoadRun::busiestEngine()
{
    std::size_t busiest = 0;
    std::size_t most = 0;
    for (std::size_t i = 0; i < m_options.engines.size(); ++i) {
        const auto active = activeStreams(i);
        if (active <= most)
            continue;
        most = active;
        busiest = i;
    }
    return busiest;
}

std::size_t LoadRun::engineRequests()
{
    std::size_t requests = 0;
    for (const auto& engine : m_options.engines) {
        const auto stats = fetchJson(engine, "/stats");
        requests += stats ? stats->value("requests", std::size_t { 0 }) : 0;
    }
    return requests;
}

void LoadRun::expectEngineRuns(std::size_t requests, std::size_t needed)
{
    m_report.doubleRuns += requests > needed ? requests - needed : 0;
    expect(requests >= needed,
        "engines received fewer requests than the generations need; found " + std::to_string(requests));
}

void LoadRun::expect(bool condition, const std::string& problem)
{
    if (!condition)
        m_report.problems.push_back(problem);
}

void LoadRun::completeReport()
{
    stopQuickCalls();
    for (std::size_t i = 0; i < m_options.engines.size(); ++i)
        addEngineStats(i);
    for (const auto& result : m_results)
        recordResumptions(result);
    checkServiceRuns();
    const auto ratio = [](std::size_t done, std::size_t needed) {
        return needed ? (static_cast<double>(done) - static_cast<double>(needed)) / static_cast<double>(needed) : 0;
    };
    m_report.extraPrefillRatio = ratio(m_totals.prefillTokens, m_promptTokens);
    m_report.extraDecodeRatio = ratio(m_totals.decodedTokens, m_delivered);
}

void LoadRun::record(const GenerationResult& result, std::size_t promptTokens)
{
    const std::lock_guard lock(m_mutex);
    m_results.push_back(result);
    // Two callers with the same key share one generation.
    const auto base = result.generation.substr(0, result.generation.find('~'));
    const bool isShared = !base.empty() && !m_generations.insert(base).second;
    m_promptTokens += isShared ? 0 : promptTokens;
    m_delivered += isShared ? 0 : result.delivered;
    m_report.reconnects += result.reconnects;
    m_report.repeatedTokens += result.repeated;
    m_report.mixed += result.mixed;
    for (const auto wait : result.reconnectWaits)
        m_report.reconnect.push_back(static_cast<double>(wait.count()));
    if (result.hasDisconnected)
        return;
    ++m_report.requests;
    m_report.completeOutputs += result.isComplete ? 1 : 0;
    m_report.missingTokens += result.missing;
    if (!result.error.empty()) {
        ++m_report.errors;
        m_report.problems.push_back(result.generation + ": " + result.error);
    }
}

// Reads the positions at which the generation changed attempts from its VM, and records the caller's waits there.
void LoadRun::recordResumptions(const GenerationResult& result)
{
    const auto described
        = fetchJson(m_options.daemons[result.daemon].operators, "/v1/generations/" + result.generation);
    if (!described)
        return;
    std::string lastFailure;
    std::size_t lastPosition = 0;
    for (const auto& attempt : (*described)["attempts"]) {
        const auto position = attempt["position"].get<std::size_t>();
        const bool hasResumed = attempt.contains("resume_gap_ms") && position > 0 && position < result.arrivals.size();
        if (hasResumed) {
            const auto wait = static_cast<double>((result.arrivals[position] - result.arrivals[position - 1]).count());
            m_report.resume.push_back(wait);
            if (lastFailure == "silent")
                m_report.resumeAfterSilence.push_back(wait);
            const auto work
                = m_totals.byRequest.find(result.generation + ":" + std::to_string(attempt["number"].get<unsigned>()));
            // If the previous attempt was lost without a token, its engine's time would have to be subtracted too, so
            // this sample is skipped.
            const bool isSingleLoss = position > lastPosition;
            if (isSingleLoss && lastFailure != "silent" && work != m_totals.byRequest.end())
                m_report.resumeBeyondEngine.push_back(
                    attempt["resume_after_detection_ms"].get<double>() - work->second.firstTokenMs);
        }
        lastFailure = attempt.value("failure", "");
        lastPosition = position;
    }
}

void LoadRun::addEngineStats(std::size_t engine)
{
    const auto stats = fetchJson(m_options.engines[engine], "/stats");
    if (!stats)
        return;
    const std::lock_guard lock(m_mutex);
    m_totals.prefillTokens += (*stats)["prefill_tokens"].get<std::size_t>();
    m_totals.decodedTokens += (*stats)["decoded_tokens"].get<std::size_t>();
    for (const auto& entry : (*stats)["by_request"].items())
        m_totals.byRequest[entry.key()].firstTokenMs = entry.value()["first_token_ms"].get<double>();
}

// Counts non-repeatable calls that ran more than once, and calls that ran although they were refused as not run.
void LoadRun::checkServiceRuns()
{
    std::map<std::string, std::size_t> runs;
    for (const auto& service : m_options.services) {
        const auto stats = fetchJson(service, "/stats");
        if (!stats)
            continue;
        for (const auto& entry : (*stats)["runs"].items())
            runs[entry.key()] += entry.value().get<std::size_t>();
    }
    for (const auto& entry : m_quickOutcomes) {
        const auto number = std::strtoul(entry.first.c_str() + entry.first.rfind('-') + 1, nullptr, 10);
        const bool isRepeatable = number % 2 == 0;
        const auto count = runs[entry.first];
        m_report.doubleRuns += !isRepeatable && count > 1 ? 1 : 0;
        m_report.falseNotRun += entry.second == "not-run" && count ? 1 : 0;
    }
}

} // namespace lupinknot::internal
