// One run of the load tool: callers, concurrent short calls, and the work statistics of engines and services.
#pragma once

#include "load/GenerationCaller.h"
#include "load/LoadReport.h"
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace lupinknot::internal {

// An engine's statistics of one attempt.
struct EngineRequestWork {
    double firstTokenMs { 0 };
};

// Sums over all engines, including those that were killed during the run.
struct EngineTotals {
    std::size_t prefillTokens { 0 };
    std::size_t decodedTokens { 0 };
    std::map<std::string, EngineRequestWork> byRequest;
};

// Functions marked thread-safe may be called from any thread, all others only from the scenario's thread.
class LoadRun {
public:
    LoadRun(const LoadOptions&, LoadReport&);
    ~LoadRun();
    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    const LoadOptions& options() const { return m_options; }

    // Runs generations with the options' concurrency and returns when all have ended.
    void runGenerations(
        std::size_t count, const std::function<void(GenerationCallerOptions&, std::size_t index)>& adapt = {});
    // Runs one generation and adds its result to the report.
    GenerationResult runOne(GenerationCallerOptions);
    GenerationCallerOptions newCaller();

    void startQuickCalls();
    void stopQuickCalls();

    // Sets faults of one engine; thread-safe. Returns false if the engine did not respond.
    bool controlEngine(std::size_t engine, const std::string& json);
    bool controlPlatform(const std::string& json);
    // Reads the engine's statistics, then kills its process; thread-safe.
    void killEngine(std::size_t engine);
    // Index of the engine with the most active streams; thread-safe.
    std::size_t busiestEngine();
    std::size_t activeStreams(std::size_t engine);
    // The number of requests that all engines have received so far.
    std::size_t engineRequests();
    // Counts each request above the needed number as a double run, and reports a problem if there were fewer.
    void expectEngineRuns(std::size_t requests, std::size_t needed);
    void expect(bool condition, const std::string& problem);

    // Completes the report; call it after all generations have ended.
    void completeReport();

private:
    void record(const GenerationResult&, std::size_t promptTokens);
    void recordResumptions(const GenerationResult&);
    void quickCallLoop();
    void addEngineStats(std::size_t engine);
    void checkServiceRuns();

    const LoadOptions& m_options;
    LoadReport& m_report;
    const MonotonicClock m_clock;
    std::mutex m_mutex;
    // m_mutex protects the members below.
    std::mt19937_64 m_random;
    EngineTotals m_totals;
    std::size_t m_promptTokens { 0 };
    std::size_t m_delivered { 0 };
    std::vector<GenerationResult> m_results;
    std::set<std::string> m_generations;
    std::map<std::string, std::string> m_quickOutcomes;
    std::uint64_t m_nextKey { 0 };

    std::atomic<bool> m_quickRunning { false };
    std::thread m_quickThread;
};

} // namespace lupinknot::internal
