// The daemon of one entry VM with all its parts.
//
//     Daemon daemon(settings);
//     auto problem = daemon.start();
//     daemon.stop();                  // Returns when all requests in progress have ended, or after vm.stopTimeout.
#pragma once

#include "http/ConnectionCounts.h"
#include "settings/DaemonSettings.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

class AdminHandler;
class Cluster;
class CompletionHandler;
class EndpointTable;
class GenerationRegistry;
class HttpExchange;
class HttpCallGroup;
class HttpServer;
class Metrics;
class PlatformReader;
class ServiceHandler;
class SharedAnswerMemory;
struct GenerationContext;

// start() and stop() must be called from the same thread; requestStop() may be called from any thread, including the
// one that handles signals.
class Daemon {
public:
    explicit Daemon(DaemonSettings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Binds the listeners and starts the threads. Returns an error message, or nothing on success.
    std::optional<std::string> start();
    // Waits until requestStop() is called.
    void waitForStopRequest();
    void requestStop();
    // Stops in an orderly way: reports not ready, then accepts no new requests, then waits for the requests in
    // progress.
    void stop();

    unsigned short port() const;
    unsigned short adminPort() const;

private:
    void handle(const std::shared_ptr<HttpExchange>&);
    void scheduleSweep();
    // Logs and counts the connections that were refused or closed for lack of descriptors since the last call.
    void reportConnections();
    void waitForRequestsInProgress();

    const DaemonSettings m_settings;
    // Random for each start. VMs store nothing on disk, so this distinguishes a restarted VM from its previous process.
    const std::uint64_t m_incarnation;
    std::unique_ptr<Clock> m_clock;
    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_sweepTimer;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<SharedAnswerMemory> m_answerMemory;
    std::unique_ptr<EndpointTable> m_endpoints;
    std::unique_ptr<HttpCallGroup> m_calls;
    std::shared_ptr<Cluster> m_cluster;
    std::unique_ptr<GenerationContext> m_context;
    std::unique_ptr<GenerationRegistry> m_registry;
    std::shared_ptr<PlatformReader> m_platform;
    std::unique_ptr<CompletionHandler> m_completions;
    std::unique_ptr<ServiceHandler> m_services;
    std::unique_ptr<AdminHandler> m_adminHandler;
    std::unique_ptr<HttpServer> m_listener;
    std::unique_ptr<HttpServer> m_admin;
    // Used by the sweep only.
    ConnectionCounts m_reportedConnections;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping { false };

    std::mutex m_stopMutex;
    std::condition_variable m_stopCondition;
    bool m_isStopRequested { false };
};

} // namespace lupinknot::internal
