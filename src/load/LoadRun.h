// One run: callers, quick calls beside them, and what the engines and services say of the work done.
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

// The engines' own account of one attempt.
struct EngineRequestWork {
    double firstTokenMs { 0 };
};

// Sums over all engines, those that died in between included.
struct EngineTotals {
    std::size_t prefillTokens { 0 };
    std::size_t decodedTokens { 0 };
    std::map<std::string, EngineRequestWork> byRequest;
};

// Thread-safe where it says so; the rest is called by the scenario's thread.
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
    // Runs one generation and counts it.
    GenerationResult runOne(GenerationCallerOptions);
    GenerationCallerOptions newCaller();

    void startQuickCalls();
    void stopQuickCalls();

    // Sets faults of one engine; thread-safe. Returns false when the engine did not answer.
    bool controlEngine(std::size_t engine, const std::string& json);
    bool controlPlatform(const std::string& json);
    // Kills the engine's process, after having asked it for its account; thread-safe.
    void killEngine(std::size_t engine);
    // The engine with the most streams; thread-safe.
    std::size_t busiestEngine();
    std::size_t activeStreams(std::size_t engine);
    // Requests that all engines have got so far.
    std::size_t engineRequests();
    // Counts every request beyond the number needed as a double run.
    void expectEngineRuns(std::size_t requests, std::size_t needed);
    void expect(bool condition, const std::string& problem);

    // Fills in what can be known only when all is quiet.
    void settle();

private:
    void record(const GenerationResult&, std::size_t promptTokens);
    void recordResumptions(const GenerationResult&);
    void quickLoop();
    void takeEngineStats(std::size_t engine);
    void checkServiceRuns();

    const LoadOptions& m_options;
    LoadReport& m_report;
    const MonotonicClock m_clock;
    std::mutex m_mutex;
    // All that follows is under the lock.
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
