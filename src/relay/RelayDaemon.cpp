#include "relay/RelayDaemon.h"

#include "common/EventLog.h"
#include "http/HttpExchange.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelaySettings.h"

#include <random>
#include <utility>

namespace lupinknot::internal {

namespace {

constexpr unsigned okStatus = 200;
constexpr unsigned notReadyStatus = 503;
// Interval between checks for unfinished requests during the shutdown.
constexpr Milliseconds stopCheckInterval { 50 };
// Time for the last answers to reach their callers.
constexpr Milliseconds lastAnswersTime { 100 };
// Interval between housekeeping runs: removal of expired endpoints, update of gauges.
constexpr Milliseconds housekeepingInterval { 500 };

} // namespace

RelayDaemon::RelayDaemon(const RelaySettings& settings, const RelayAddresses& addresses, const CallProtocol& protocol)
    : m_settings(settings)
    , m_ioContext(1)
    , m_connector(m_ioContext, m_clock,
          { .ownZone = m_settings.availabilityZone, .directTimeout = m_settings.endpointConnectTimeout }, m_metrics)
    , m_directory(m_ioContext, m_settings)
    , m_tunnels(m_ioContext, m_connector, m_directory, m_metrics)
    , m_placement(m_directory, m_settings, std::random_device()())
    , m_crashGuard(m_ioContext, m_clock, m_settings, m_directory, &m_metrics)
    , m_localPermits(m_ioContext, m_clock)
    , m_context { m_ioContext, m_settings, m_clock, protocol, m_directory, m_placement, m_metrics, m_crashGuard,
        &m_localPermits, nullptr, {}, {}, nullptr, false }
    , m_endpointProbe(m_context)
    , m_shareExchange(m_context.shares, m_clock, m_settings.vmName, m_settings.availabilityZone)
    , m_handler(m_context)
    , m_requestMemory(std::make_shared<RequestMemory>(m_settings.maxRequestMemory))
    , m_callerServer(
          m_ioContext, listenAt(addresses.front),
          [this](const std::shared_ptr<HttpExchange>& exchange) { m_handler.handle(exchange); }, m_requestMemory)
    , m_readinessServer(
          m_ioContext, listenAt(addresses.ready, operatorDescriptors),
          [this](const std::shared_ptr<HttpExchange>& exchange) { answerReadiness(exchange); }, m_requestMemory)
    , m_metricsServer(
          m_ioContext, listenAt(addresses.metrics, operatorDescriptors),
          [this](const std::shared_ptr<HttpExchange>& exchange) { answerMetrics(exchange); }, m_requestMemory)
    , m_signals(m_ioContext, SIGTERM, SIGINT, SIGHUP)
    , m_stopTimer(m_ioContext)
    , m_housekeepingTimer(m_ioContext)
    , m_stallTimer(m_ioContext)
{
    m_context.waitingRequestLimit.setAgeingTime(m_settings.rankAgeingTime);
    m_context.answerMemory->setLimit(m_settings.maxAnswerMemory);
    m_directory.setConnector(m_connector);
    m_directory.setStalls(m_context.stalls);
    m_crashGuard.setProbe(&m_endpointProbe);
    m_placement.setPaces(&m_context.enginePaces);
    m_directory.onFirstList([this] { m_handler.processWaitingRequests(); });
    m_directory.onZoneFailure(
        [this](ZoneFailureSource source, FailureEvidence evidence) { m_metrics.countZoneFailure(source, evidence); });
    m_directory.onZoneRetraction(
        [this](ZoneFailureSource source, RetractionReason reason) { m_metrics.countZoneRetraction(source, reason); });
    m_directory.setServices([this](const std::string& service) {
        return m_context.configuration && m_context.configuration->findService(service);
    });
}

RelayDaemon::~RelayDaemon() = default;

std::optional<std::string> RelayDaemon::start()
{
    for (auto* const server : { &m_callerServer, &m_readinessServer, &m_metricsServer }) {
        if (auto problem = server->start())
            return problem;
    }
    awaitSignal();
    runHousekeeping();
    runStallTimer();
    LogEvent("process.started")
        .text("zone", m_settings.availabilityZone)
        .number("front_port", m_callerServer.port())
        .number("ready_port", m_readinessServer.port())
        .number("metrics_port", m_metricsServer.port())
        .write();
    return std::nullopt;
}

void RelayDaemon::run() { m_ioContext.run(); }

void RelayDaemon::changeSettings(const RelaySettings& settings)
{
    const auto share = m_settings.retrySlackShare;
    const auto from = m_settings.retrySlackStartsAt;
    m_settings = settings;
    m_settings.retrySlackShare = share;
    m_settings.retrySlackStartsAt = from;
    m_context.waitingRequestLimit.setAgeingTime(m_settings.rankAgeingTime);
    m_context.answerMemory->setLimit(m_settings.maxAnswerMemory);
    limitRequestMemory();
    LogEvent("settings.applied")
        .number("retry_ratio_percent", static_cast<std::int64_t>(100 * m_settings.retryRatio))
        .number("retry_slack", static_cast<std::int64_t>(m_settings.retrySlack))
        .number("stop_within_ms", m_settings.stopWithin.count())
        .write();
}

bool RelayDaemon::applyConfiguration(std::shared_ptr<const RelayConfiguration> configuration)
{
    const auto current = m_context.configuration;
    if (current && configuration->version() <= current->version())
        return false;
    LogEvent("config.applied")
        .number("config_version", static_cast<std::int64_t>(configuration->version()))
        .number("previous_version", current ? static_cast<std::int64_t>(current->version()) : 0)
        .number("routes", static_cast<std::int64_t>(configuration->routeCount()))
        .write();
    m_context.configuration = std::move(configuration);
    m_callerServer.changeSettings(m_context.configuration->callerLimits());
    limitRequestMemory();
    m_metrics.configurationVersion.Set(static_cast<double>(m_context.configuration->version()));
    m_directory.servicesChanged(m_clock.now());
    if (!current)
        m_handler.processWaitingRequests();
    return true;
}

LoanDecision RelayDaemon::lendRetry(const RetryLoanRequest& request)
{
    // The budgets are kept by service, and another VM may name any.
    if (!m_context.configuration || !m_context.configuration->findService(request.service))
        return LoanDecision::Spent;
    return m_context.retryBudget(request.service).lend(request.purpose, request.rank, m_clock.now());
}

void RelayDaemon::setZoneExchange(ZoneExchange* exchange)
{
    m_context.zoneExchange = exchange;
    m_shareExchange.connect(exchange);
}

void RelayDaemon::listRestored()
{
    m_directory.listRestored(m_clock.now());
    m_metrics.restoredLists.Increment();
}

bool RelayDaemon::beginRollout(const RolloutOrder& order)
{
    // A VM that has just started may have spent its share already, in its previous process.
    const auto share = m_clock.now() < m_settings.retrySlackStartsAt ? 0.0 : m_settings.retrySlackShare;
    return m_context.rollouts.begin(order, { m_settings.exposureLimit, share, m_settings.vmName });
}

bool RelayDaemon::isReady() const { return m_context.configuration && m_directory.isKnown() && !m_stopRequestedAt; }

void RelayDaemon::answerReadiness(const std::shared_ptr<HttpExchange>& exchange)
{
    exchange->respond({ isReady() ? okStatus : notReadyStatus, {}, "" });
}

void RelayDaemon::answerMetrics(const std::shared_ptr<HttpExchange>& exchange)
{
    exchange->respond({ okStatus, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.exposition() });
}

void RelayDaemon::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            LogEvent("process.reload").write();
            if (m_onReload)
                m_onReload();
        } else {
            requestStop();
        }
        awaitSignal();
    });
}

// Callers keep sending requests until the load balancer has noticed the shutdown; requests in progress are finished.
void RelayDaemon::requestStop()
{
    if (m_stopRequestedAt)
        return;
    m_stopRequestedAt = m_clock.now();
    LogEvent("process.stopping").number("busy", static_cast<std::int64_t>(m_callerServer.busyCount())).write();
    m_callerServer.announceStop();
    if (m_onStopping)
        m_onStopping();
    m_context.endsAt = *m_stopRequestedAt + m_settings.stopWithin;
    m_context.openCalls->noteStopRequested();
    awaitStop();
}

void RelayDaemon::awaitStop()
{
    const auto elapsed = m_clock.now() - *m_stopRequestedAt;
    if (elapsed >= m_settings.stopAcceptsFor && !m_context.isStopping) {
        m_context.isStopping = true;
        m_tunnels.stop();
        m_handler.processWaitingRequests();
    }
    if (m_context.isStopping) {
        m_callerServer.closeIdleConnections();
        m_tunnels.closeIdle();
    }
    // Settings that are reloaded during the stop apply to it.
    m_context.endsAt = *m_stopRequestedAt + m_settings.stopWithin;
    if (elapsed >= m_settings.stopWithin && !std::exchange(m_hasAnsweredAll, true))
        m_context.openCalls->end();
    const auto busy = m_callerServer.busyCount() + m_tunnels.busyCount();
    const bool isFinished = m_context.isStopping && busy == 0;
    // Requests that arrived before the idle connections were closed are answered by the next check.
    const bool wasFinished = std::exchange(m_wasFinished, isFinished);
    if ((isFinished && wasFinished) || elapsed >= m_settings.stopWithin + lastAnswersTime) {
        LogEvent("process.stopped").number("broken_off", static_cast<std::int64_t>(busy)).write();
        m_ioContext.stop();
        return;
    }
    m_stopTimer.expires_after(stopCheckInterval);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            awaitStop();
    });
}

void RelayDaemon::runHousekeeping()
{
    m_directory.dropExpired(m_clock.now());
    m_shareExchange.tick(m_clock.now());
    m_metrics.endpointsKnown.Set(static_cast<double>(m_directory.size()));
    m_metrics.endpointsUnused.Set(static_cast<double>(m_directory.unusedCount()));
    observeRequestMemory();
    reportConnections();
    m_housekeepingTimer.expires_after(housekeepingInterval);
    m_housekeepingTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            runHousekeeping();
    });
}

void RelayDaemon::limitRequestMemory()
{
    const auto limits = m_context.configuration ? m_context.configuration->callerLimits() : HttpServerSettings {};
    m_requestMemory->setLimit(
        effectiveRequestMemory(m_settings.maxRequestMemory, static_cast<std::size_t>(limits.maxBodyBytes)));
}

void RelayDaemon::observeRequestMemory()
{
    m_metrics.requestMemory.Set(static_cast<double>(m_requestMemory->total()));
    const auto refused = m_requestMemory->refusedCount();
    if (refused == m_requestsWithoutMemory)
        return;
    const auto newlyRefused = refused - std::exchange(m_requestsWithoutMemory, refused);
    m_metrics.requestsWithoutMemory.Increment(static_cast<double>(newlyRefused));
    LogEvent("requests.without-memory")
        .number("refused", static_cast<std::int64_t>(newlyRefused))
        .number("all_bytes", static_cast<std::int64_t>(m_requestMemory->total()))
        .number("complete_bytes", static_cast<std::int64_t>(m_requestMemory->completeTotal()))
        .number("limit_bytes", static_cast<std::int64_t>(m_requestMemory->limit()))
        .write();
}

void RelayDaemon::reportConnections()
{
    const auto counts = m_callerServer.connectionCounts();
    m_metrics.callerConnections.Set(static_cast<double>(m_callerServer.connectionCount()));
    if (counts == m_reportedConnections)
        return;
    const auto earlier = std::exchange(m_reportedConnections, counts);
    m_metrics.connectionsDisplaced.Increment(static_cast<double>(counts.displaced - earlier.displaced));
    m_metrics.connectionsRefused.Increment(static_cast<double>(counts.refused - earlier.refused));
    m_metrics.connectionsNotAccepted.Increment(static_cast<double>(counts.notAccepted - earlier.notAccepted));
    LogEvent("callers.connections-short")
        .number("open", static_cast<std::int64_t>(m_callerServer.connectionCount()))
        .number("busy", static_cast<std::int64_t>(m_callerServer.busyCount()))
        .number("displaced", static_cast<std::int64_t>(counts.displaced - earlier.displaced))
        .number("refused", static_cast<std::int64_t>(counts.refused - earlier.refused))
        .number("not_accepted", static_cast<std::int64_t>(counts.notAccepted - earlier.notAccepted))
        .write();
}

void RelayDaemon::runStallTimer()
{
    if (const auto stall = m_context.stalls.noteTick(m_clock.now())) {
        m_metrics.stalls.Increment();
        LogEvent("process.stalled").number("took_ms", stall->count()).write();
    }
    m_stallTimer.expires_after(StallDetector::interval);
    m_stallTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            runStallTimer();
    });
}

} // namespace lupinknot::internal
