// The relay process: its listeners, shared state and shutdown.
//
//     RelayDaemon daemon(settings, { front, ready, metrics }, protocol);
//     daemon.applyConfiguration(configuration);        // Called by the adapter that receives configurations.
//     daemon.directory().replaceAll(entries, now);
//     daemon.run();                                    // Returns when the shutdown is complete.
//
// One thread runs everything except log writing: a VM has a quarter of a core, and waking a further thread costs more
// than it gains (docs/PLATFORM.md). All calls come from that thread.
#pragma once

#include "http/HttpServer.h"
#include "http/RequestMemory.h"
#include "http/SocketAddress.h"
#include "limits/LocalPermits.h"
#include "lupinknot/MonotonicClock.h"
#include "reach/EndpointConnector.h"
#include "reach/EndpointTunnels.h"
#include "relay/CrashGuard.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"
#include "relay/RelayContext.h"
#include "relay/RelayHandler.h"
#include "relay/RelayMetrics.h"
#include "relay/ShareExchange.h"
#include "relay/StateQueryProbe.h"
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lupinknot::internal {

struct RelayAddresses {
    // Listener for callers.
    SocketAddress front;
    // Listener for the load balancer's readiness checks.
    SocketAddress ready;
    SocketAddress metrics;
};

class RelayDaemon {
public:
    RelayDaemon(const RelaySettings&, const RelayAddresses&, const CallProtocol&);
    ~RelayDaemon();
    RelayDaemon(const RelayDaemon&) = delete;
    RelayDaemon& operator=(const RelayDaemon&) = delete;

    // Binds the listeners. Returns an error message, or nothing.
    std::optional<std::string> start();
    // Runs until the shutdown is complete.
    void run();

    boost::asio::io_context& ioContext() { return m_ioContext; }
    EndpointDirectory& directory() { return m_directory; }
    // Reports that the source of the endpoint list was restored from an older copy of itself.
    void listRestored();
    // Sets the store through which VMs share the locations of their runs; it must outlive run().
    void setRunLocations(RunLocations* locations) { m_context.runLocations = locations; }
    // Sets the source of permits for rate-limited endpoints; it must outlive run(). Without one, this VM counts its own
    // requests only.
    void setPermits(PermitSource* permits) { m_context.permits = permits; }
    // Sets the recorder of the requests that endpoints start; it must outlive run().
    void setUsageRecorder(UsageRecorder* usage) { m_context.usage = usage; }
    // Sets the exchange with the VMs of this zone; it must outlive run().
    void setZoneExchange(ZoneExchange*);
    // Sets the number of VMs of this VM's zone, this one included.
    void setZoneVmCount(std::size_t count) { m_shareExchange.setZoneVmCount(count); }
    // Sets the source of retries that other VMs lend; it must outlive run(). Without one, this VM uses its own part.
    void setRetryLoans(RetryLoanSource* loans) { m_context.retryLoans = loans; }
    // Lends a retry of this VM's part of the budget to another VM if enough are left.
    LoanDecision lendRetry(const RetryLoanRequest&);
    ZoneExchange* zoneExchange() const { return m_context.zoneExchange; }
    // Sets the VMs through which this VM connects to endpoints while it is partitioned from all of them.
    void setOtherVms(const std::vector<PeerVm>& vms) { m_connector.setVms(vms); }
    // The memory of all requests of this process.
    const std::shared_ptr<RequestMemory>& requestMemory() const { return m_requestMemory; }
    // Connects other VMs to endpoints.
    EndpointTunnels& tunnels() { return m_tunnels; }
    EnginePaces& enginePaces() { return m_context.enginePaces; }
    RelayMetrics& metrics() { return m_metrics; }
    // Decides which requests are quarantined because endpoints crashed while running them.
    CrashGuard& crashGuard() { return m_crashGuard; }
    // Replaces limits, times and weights, also for requests in progress. The settings that depend on the number of VMs
    // and on the start time stay as they are.
    void changeSettings(const RelaySettings&);
    // Sets the number of VMs that share the retry budget.
    void setVmCount(std::size_t count) { m_settings.retrySlackShare = 1.0 / static_cast<double>(count); }
    // Takes no share of the retry budget's fixed number for the given time and one window more: until then the other
    // VMs do not count this VM, or the previous process of this VM may have spent the share.
    void delayRetrySlack(Milliseconds time)
    {
        m_settings.retrySlackStartsAt = m_clock.now() + time + m_settings.retryWindow;
    }
    Rollouts& rollouts() { return m_context.rollouts; }
    // Starts to take part in a rollout. Returns whether the order is new.
    bool beginRollout(const RolloutOrder&);
    const Clock& clock() const { return m_clock; }
    // Applies a configuration unless it is older than the current one. Returns whether it was applied.
    bool applyConfiguration(std::shared_ptr<const RelayConfiguration>);
    const std::shared_ptr<const RelayConfiguration>& configuration() const { return m_context.configuration; }
    // The port that callers connect to, also when the settings specify any port (0).
    unsigned short frontPort() const { return m_callerServer.port(); }
    // Number of requests that wait for the configuration, for endpoints or for capacity.
    std::size_t waitingCount() const { return m_context.waitingRequestLimit.count(); }
    // Sets the callback for a reload request (SIGHUP): the settings file may have changed.
    void onReload(std::function<void()> callback) { m_onReload = std::move(callback); }
    // Sets the callback that is called once when the shutdown begins.
    void onStopping(std::function<void()> callback) { m_onStopping = std::move(callback); }
    void requestStop();

private:
    // True when this VM accepts requests from callers.
    bool isReady() const;
    void answerReadiness(const std::shared_ptr<HttpExchange>&);
    void answerMetrics(const std::shared_ptr<HttpExchange>&);
    void awaitSignal();
    void awaitStop();
    void runHousekeeping();
    void limitRequestMemory();
    void observeRequestMemory();
    // Logs and counts the callers' connections that were refused or closed for lack of descriptors since the last call.
    void reportConnections();
    // Notices when the event loop has stood still.
    void runStallTimer();

    RelaySettings m_settings;
    const MonotonicClock m_clock;
    boost::asio::io_context m_ioContext;
    RelayMetrics m_metrics;
    EndpointConnector m_connector;
    EndpointDirectory m_directory;
    EndpointTunnels m_tunnels;
    Placement m_placement;
    CrashGuard m_crashGuard;
    LocalPermits m_localPermits;
    RelayContext m_context;
    StateQueryProbe m_endpointProbe;
    ShareExchange m_shareExchange;
    RelayHandler m_handler;
    const std::shared_ptr<RequestMemory> m_requestMemory;
    std::uint64_t m_requestsWithoutMemory { 0 };
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    ConnectionCounts m_reportedConnections;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_stallTimer;
    std::function<void()> m_onReload;
    std::function<void()> m_onStopping;
    std::optional<Milliseconds> m_stopRequestedAt;
    // At the end of the stop, the requests that had no answer have got one.
    bool m_hasAnsweredAll { false };
    // At the last check during the stop, no request was in progress.
    bool m_wasFinished { false };
};

} // namespace lupinknot::internal
