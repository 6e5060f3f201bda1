#include "load/Scenario.h"

#include "common/ByteSizes.h"
#include "http/HttpFetch.h"
#include "load/LoadRun.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

// Repeats an action at an interval on its own thread until destroyed.
class Repeater {
public:
    Repeater(Milliseconds interval, std::function<void(std::size_t round)> action)
        : m_thread([this, interval, action = std::move(action)] {
            for (std::size_t round = 0; !m_isStopping; ++round) {
                std::this_thread::sleep_for(interval);
                if (!m_isStopping)
                    action(round);
            }
        })
    {
    }

    ~Repeater()
    {
        m_isStopping = true;
        m_thread.join();
    }

    Repeater(const Repeater&) = delete;
    Repeater& operator=(const Repeater&) = delete;

private:
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

void runSteady(LoadRun& run)
{
    run.startQuickCalls();
    run.runGenerations(run.options().generations);
}

// Prints one long generation and kills the busiest engine in the middle of it, while other generations run.
void runEngineDeath(LoadRun& run)
{
    constexpr std::size_t killAt = 25;
    constexpr std::size_t longOutputTokens = 80;
    constexpr std::size_t others = 6;
    std::cerr << "One caller requests a generation of " << longOutputTokens << " tokens; " << others
              << " other generations run at the same time.\n\n   ";
    run.startQuickCalls();
    std::thread background([&run] { run.runGenerations(others); });
    std::thread killer;
    auto caller = run.newCaller();
    caller.maxTokens = longOutputTokens;
    caller.onToken = [&](std::size_t position, const Token& token) {
        std::cerr << token.text << std::flush;
        if (position + 1 != killAt)
            return;
        killer = std::thread([&run] {
            const auto engine = run.busiestEngine();
            std::cerr << "\n\n>> engine " << engine + 1 << " is killed while it runs " << run.activeStreams(engine)
                      << " generations <<\n\n   ";
            run.killEngine(engine);
        });
    };
    const auto result = run.runOne(std::move(caller));
    if (killer.joinable())
        killer.join();
    background.join();
    std::cerr << "\n\n"
              << (result.isComplete ? "The output is complete: " : "THE OUTPUT IS INCOMPLETE OR WRONG: ")
              << result.delivered << " tokens received.\n";
}

// Engines freeze for a while and then continue where they stopped.
void runEnginePause(LoadRun& run)
{
    run.startQuickCalls();
    const Repeater pauses(Milliseconds { 1500 }, [&run](std::size_t round) {
        run.controlEngine(round % run.options().engines.size(), R"({"pause": true, "pause_ms": 1200})");
    });
    run.runGenerations(run.options().generations);
}

// Half of the engines crash repeatedly and restart without state.
void runEngineStorm(LoadRun& run)
{
    run.startQuickCalls();
    const Repeater crashes(Milliseconds { 700 }, [&run](std::size_t round) {
        const auto count = run.options().engines.size();
        for (std::size_t i = 0; i < count / 2; ++i)
            run.controlEngine((round + 2 * i) % count, R"({"crash": true, "down_ms": 400})");
    });
    run.runGenerations(run.options().generations);
}

// Every third caller disconnects early; its engine must stop the stream at once.
void runCallerGone(LoadRun& run)
{
    run.startQuickCalls();
    const auto adapt = [](GenerationCallerOptions& caller, std::size_t index) {
        if (index % 3)
            return;
        caller.disconnectAfter = caller.maxTokens / 3;
        caller.idempotencyKey.clear();
    };
    run.runGenerations(run.options().generations, adapt);
    std::this_thread::sleep_for(Milliseconds { 300 });
    for (std::size_t i = 0; i < run.options().engines.size(); ++i)
        run.expect(!run.activeStreams(i),
            "engine " + std::to_string(i + 1) + " still runs streams whose callers have disconnected");
}

// The demo script kills, pauses or stops VMs during the run; callers reconnect to other VMs.
void runWhileVmsChange(LoadRun& run) { run.runGenerations(run.options().generations); }

// The platform is down for the whole run.
void runPlatformOutage(LoadRun& run)
{
    run.controlPlatform(R"({"outage_ms": 600000})");
    run.startQuickCalls();
    run.runGenerations(run.options().generations);
}

// Sends every request to two VMs at once, half of the requests marked non-repeatable; each must run exactly once.
void runDoubleSubmit(LoadRun& run)
{
    run.startQuickCalls();
    const auto pairs = run.options().generations;
    std::vector<GenerationCallerOptions> callers;
    for (std::size_t i = 0; i < pairs; ++i) {
        auto caller = run.newCaller();
        caller.repeatable = i % 2 == 0;
        callers.push_back(caller);
        caller.firstDaemon = (caller.firstDaemon + 1) % run.options().daemons.size();
        callers.push_back(caller);
    }
    run.runGenerations(
        callers.size(), [&callers](GenerationCallerOptions& caller, std::size_t index) { caller = callers[index]; });
    const auto requests = run.engineRequests();
    run.expectEngineRuns(requests, pairs);
}

struct BadInput {
    const char* what;
    std::string body;
    HttpHeaders headers;
    unsigned status;
    const char* field;
};

std::vector<BadInput> badInputs()
{
    const std::string validBody = R"({"model": "story", "prompt": "a b", "max_tokens": 4})";
    return {
        { "bad JSON", "{\"model\": ", {}, 400, "body" },
        { "bad UTF-8", "{\"model\": \"story\", \"prompt\": \"\xff\xfe\"}", {}, 400, "body" },
        { "a list as body", "[1]", {}, 400, "body" },
        { "no model", R"({"prompt": "a"})", {}, 400, "model" },
        { "an unknown model", R"({"model": "nobody", "prompt": "a"})", {}, 404, "model" },
        { "no prompt", R"({"model": "story"})", {}, 400, "prompt" },
        { "a negative token", R"({"model": "story", "prompt": [1, -2]})", {}, 400, "prompt" },
        { "too many tokens", R"({"model": "story", "prompt": "a", "max_tokens": 99999999})", {}, 400, "max_tokens" },
        { "zero tokens", R"({"model": "story", "prompt": "a", "max_tokens": 0})", {}, 400, "max_tokens" },
        { "an unknown field", R"({"model": "story", "prompt": "a", "colour": 1})", {}, 400, "colour" },
        { "a bad flag", validBody, { { "Lupinknot-Repeatable", "maybe" } }, 400, "Lupinknot-Repeatable" },
        { "a bad deadline", validBody, { { "Lupinknot-Deadline-Ms", "-1" } }, 400, "Lupinknot-Deadline-Ms" },
        { "a bad event id", validBody, { { "Idempotency-Key", "k" }, { "Last-Event-ID", "x" } }, 400, "Last-Event-ID" },
        { "a body too large", std::string(6 * mebibyte, ' '), {}, 413, "body" },
        { "a header too large", validBody, { { "X-Flood", std::string(100000, 'x') } }, 431, "header" },
    };
}

// Invalid requests get errors that name the field, and concurrent callers are not affected.
void runBadInput(LoadRun& run)
{
    run.startQuickCalls();
    std::thread background([&run] { run.runGenerations(run.options().generations); });
    for (const auto& input : badInputs()) {
        HttpRequest request { "POST", "/v1/completions", input.headers, input.body };
        request.headers.add("Content-Type", "application/json");
        const auto result = fetch(run.options().daemons.front().callers, request, Milliseconds { 10000 });
        const auto body = json::parse(result.response.body, nullptr, false);
        const auto field = body.is_object() ? body["error"].value("field", "") : "";
        const bool isAsExpected = result.response.status == input.status && field == input.field
            && result.response.headers.find("Lupinknot-Outcome") == "not-run";
        run.expect(isAsExpected,
            std::string(input.what) + ": expected status " + std::to_string(input.status) + " and field " + input.field
                + "; found " + std::to_string(result.response.status) + " " + result.response.body + result.message);
    }
    background.join();
}

} // namespace

const std::vector<Scenario>& scenarios()
{
    static const std::vector<Scenario> all {
        { "steady", "nothing fails", runSteady },
        { "engine-death", "an engine's process is killed while it runs generations", runEngineDeath },
        { "engine-pause", "engines freeze and then continue", runEnginePause },
        { "engine-storm", "half of the engines crash, several times", runEngineStorm },
        { "caller-gone", "callers disconnect in the middle of their generations", runCallerGone },
        { "vm-death", "entry VMs are killed and restart without state", runWhileVmsChange },
        { "vm-pause", "entry VMs freeze for two seconds and then continue", runWhileVmsChange },
        { "planned-stop", "entry VMs are shut down gracefully and restarted, one after the other", runWhileVmsChange },
        { "platform-outage", "the platform is down for the whole run", runPlatformOutage },
        { "double-submit", "every request goes to two VMs at once", runDoubleSubmit },
        { "bad-input", "invalid requests are sent along with valid ones", runBadInput },
    };
    return all;
}

} // namespace lupinknot::internal
