#include "relay/RelayDaemon.h"

#include "common/EventLog.h"
#include "http/HttpExchange.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelaySettings.h"

#include <random>

namespace lupinknot::internal {

namespace {

constexpr unsigned okStatus = 200;
constexpr unsigned notReadyStatus = 503;
// Pause between two looks at what is still under way while stopping.
constexpr Milliseconds stopInterval { 50 };
// Pause between two rounds of housekeeping: expired endpoints and gauges.
constexpr Milliseconds tickInterval { 500 };

} // namespace

RelayDaemon::RelayDaemon(const RelaySettings& settings, const RelayAddresses& addresses, const CallProtocol& protocol)
    : m_settings(settings)
    , m_ioContext(1)
    , m_directory(m_ioContext, m_settings)
    , m_placement(m_directory, m_settings, std::random_device()())
    , m_crashGuard(m_ioContext, m_clock, m_settings, m_directory)
    , m_localPermits(m_ioContext, m_clock)
    , m_context { m_ioContext, m_settings, m_clock, protocol, m_directory, m_placement, m_metrics, m_crashGuard,
        &m_localPermits, nullptr, {}, {}, nullptr, false }
    , m_handler(m_context)
    , m_front(m_ioContext, listenAt(addresses.front),
          [this](const std::shared_ptr<HttpExchange>& exchange) { m_handler.handle(exchange); })
    , m_ready(m_ioContext, listenAt(addresses.ready),
          [this](const std::shared_ptr<HttpExchange>& exchange) { answerReadiness(exchange); })
    , m_metricsServer(m_ioContext, listenAt(addresses.metrics),
          [this](const std::shared_ptr<HttpExchange>& exchange) { answerMetrics(exchange); })
    , m_signals(m_ioContext, SIGTERM, SIGINT, SIGHUP)
    , m_stopTimer(m_ioContext)
    , m_tickTimer(m_ioContext)
{
    m_directory.onFirstList([this] { m_handler.newsArrived(); });
    m_directory.setServices([this](const std::string& service) {
        return !m_context.configuration || m_context.configuration->findService(service);
    });
}

RelayDaemon::~RelayDaemon() = default;

std::optional<std::string> RelayDaemon::start()
{
    for (auto* const server : { &m_front, &m_ready, &m_metricsServer }) {
        if (auto problem = server->start())
            return problem;
    }
    awaitSignal();
    tick();
    LogEvent("process.started")
        .text("zone", m_settings.availabilityZone)
        .number("front_port", m_front.port())
        .number("ready_port", m_ready.port())
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
    LogEvent("settings.applied")
        .number("retry_ratio_percent", static_cast<std::int64_t>(100 * m_settings.retryRatio))
        .number("retry_slack", static_cast<std::int64_t>(m_settings.retrySlack))
        .number("stop_within_ms", m_settings.stopWithin.count())
        .write();
}

bool RelayDaemon::applyConfiguration(std::shared_ptr<const RelayConfiguration> configuration)
{
    const auto present = m_context.configuration;
    if (present && configuration->version() <= present->version())
        return false;
    LogEvent("config.applied")
        .number("config_version", static_cast<std::int64_t>(configuration->version()))
        .number("previous_version", present ? static_cast<std::int64_t>(present->version()) : 0)
        .number("routes", static_cast<std::int64_t>(configuration->routeCount()))
        .write();
    m_context.configuration = std::move(configuration);
    m_front.changeSettings(m_context.configuration->callerLimits());
    m_metrics.configurationVersion.Set(static_cast<double>(m_context.configuration->version()));
    if (!present)
        m_handler.newsArrived();
    return true;
}

void RelayDaemon::listRestored()
{
    m_directory.listRestored(m_clock.now());
    m_metrics.restoredLists.Increment();
}

bool RelayDaemon::beginRollout(const RolloutOrder& order)
{
    // A VM that has just started may have spent its share already.
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

// Callers keep coming until the balancer has noticed, and what has begun is finished.
void RelayDaemon::requestStop()
{
    if (m_stopRequestedAt)
        return;
    m_stopRequestedAt = m_clock.now();
    LogEvent("process.stopping").number("busy", static_cast<std::int64_t>(m_front.busyCount())).write();
    m_front.announceStop();
    if (m_onStopping)
        m_onStopping();
    awaitStop();
}

void RelayDaemon::awaitStop()
{
    const auto since = m_clock.now() - *m_stopRequestedAt;
    if (since >= m_settings.stopAcceptsFor && !m_context.isStopping) {
        m_context.isStopping = true;
        m_front.closeIdleConnections();
    }
    const auto busy = m_front.busyCount();
    if ((m_context.isStopping && busy == 0) || since >= m_settings.stopWithin) {
        LogEvent("process.stopped").number("broken_off", static_cast<std::int64_t>(busy)).write();
        m_ioContext.stop();
        return;
    }
    m_stopTimer.expires_after(stopInterval);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            awaitStop();
    });
}

void RelayDaemon::tick()
{
    m_directory.dropExpired(m_clock.now());
    m_metrics.endpointsKnown.Set(static_cast<double>(m_directory.size()));
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

} // namespace lupinknot::internal
