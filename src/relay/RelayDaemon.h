// The relay as a process: listeners, what it believes, and its stop.
//
//     RelayDaemon daemon(settings, { front, ready, metrics }, protocol);
//     daemon.applyConfiguration(configuration);        // From the adapter that hears of it.
//     daemon.directory().replaceAll(entries, now);
//     daemon.run();                                    // Until it has stopped.
//
// One thread runs everything but the writing of the log: a VM has a quarter of a core, and each wake-up of a further
// thread costs more than it brings (docs/PLATFORM.md). Calls come from that thread only.
#pragma once

#include "http/HttpServer.h"
#include "http/SocketAddress.h"
#include "limits/LocalPermits.h"
#include "lupinknot/MonotonicClock.h"
#include "relay/CrashGuard.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"
#include "relay/RelayContext.h"
#include "relay/RelayHandler.h"
#include "relay/RelayMetrics.h"
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lupinknot::internal {

struct RelayAddresses {
    // Where callers come in.
    SocketAddress front;
    // Where the balancer asks whether this VM is ready.
    SocketAddress ready;
    SocketAddress metrics;
};

class RelayDaemon {
public:
    RelayDaemon(const RelaySettings&, const RelayAddresses&, const CallProtocol&);
    ~RelayDaemon();
    RelayDaemon(const RelayDaemon&) = delete;
    RelayDaemon& operator=(const RelayDaemon&) = delete;

    // Binds the listeners. Returns what went wrong, or nothing.
    std::optional<std::string> start();
    // Runs until a stop is complete.
    void run();

    boost::asio::io_context& ioContext() { return m_ioContext; }
    EndpointDirectory& directory() { return m_directory; }
    // The source of the list of endpoints has come back from an older copy of itself.
    void listRestored();
    // Where VMs tell each other of their runs; it outlives the daemon's run.
    void setRunLocations(RunLocations* locations) { m_context.runLocations = locations; }
    // Where permits for endpoints under a limit come from; it outlives the daemon's run. Without one this VM counts for
    // itself alone.
    void setPermits(PermitSource* permits) { m_context.permits = permits; }
    // Which requests are held back because endpoints have ended under them.
    CrashGuard& crashGuard() { return m_crashGuard; }
    // Puts other limits, times and weights in force, for requests under way too. What is known of other VMs stays.
    void changeSettings(const RelaySettings&);
    // How many VMs share the retry budget.
    void setVmCount(std::size_t count) { m_settings.retrySlackShare = 1.0 / static_cast<double>(count); }
    // Takes no share of that budget's fixed number for the time and a window more: others do not count this VM until
    // then, or the process before this one has spent it.
    void delayRetrySlack(Milliseconds time)
    {
        m_settings.retrySlackStartsAt = m_clock.now() + time + m_settings.retryWindow;
    }
    Rollouts& rollouts() { return m_context.rollouts; }
    // Takes part in a roll-out from here on. Returns whether the order is new.
    bool beginRollout(const RolloutOrder&);
    const Clock& clock() const { return m_clock; }
    // Puts a configuration in force unless it is older than the present one. Returns whether it did.
    bool applyConfiguration(std::shared_ptr<const RelayConfiguration>);
    const std::shared_ptr<const RelayConfiguration>& configuration() const { return m_context.configuration; }
    // The port that callers reach, also when the settings asked for any (0).
    unsigned short frontPort() const { return m_front.port(); }
    // Requests that wait, for news or for a place at an endpoint.
    std::size_t waitingCount() const { return m_context.waitingRequestLimit.count(); }
    // What to do when the settings file may have changed.
    void onReload(std::function<void()> callback) { m_onReload = std::move(callback); }
    // Called once when a stop begins.
    void onStopping(std::function<void()> callback) { m_onStopping = std::move(callback); }
    void requestStop();

private:
    // True when this VM wants callers.
    bool isReady() const;
    void answerReadiness(const std::shared_ptr<HttpExchange>&);
    void answerMetrics(const std::shared_ptr<HttpExchange>&);
    void awaitSignal();
    void awaitStop();
    void tick();

    RelaySettings m_settings;
    const MonotonicClock m_clock;
    boost::asio::io_context m_ioContext;
    EndpointDirectory m_directory;
    Placement m_placement;
    RelayMetrics m_metrics;
    CrashGuard m_crashGuard;
    LocalPermits m_localPermits;
    RelayContext m_context;
    RelayHandler m_handler;
    HttpServer m_front;
    HttpServer m_ready;
    HttpServer m_metricsServer;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_tickTimer;
    std::function<void()> m_onReload;
    std::function<void()> m_onStopping;
    std::optional<Milliseconds> m_stopRequestedAt;
};

} // namespace lupinknot::internal
