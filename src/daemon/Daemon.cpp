#include "daemon/Daemon.h"

#include "common/Log.h"
#include "daemon/AdminHandler.h"
#include "daemon/Cluster.h"
#include "daemon/CompletionHandler.h"
#include "daemon/EndpointTable.h"
#include "daemon/GenerationContext.h"
#include "daemon/GenerationRegistry.h"
#include "daemon/Metrics.h"
#include "daemon/PlatformReader.h"
#include "daemon/ServiceHandler.h"
#include "daemon/SharedAnswerMemory.h"
#include "http/HttpCallGroup.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"
#include "http/JsonError.h"
#include "lupinknot/MonotonicClock.h"

#include <random>
#include <sstream>

namespace lupinknot::internal {

namespace {

constexpr std::string_view completionsPath = "/v1/completions";
constexpr Milliseconds sweepInterval { 1000 };
constexpr Milliseconds progressPollInterval { 20 };
constexpr Milliseconds retryAfterStop { 1000 };

std::uint64_t randomIncarnation()
{
    std::random_device source;
    return source();
}

std::string idPrefix(const std::string& vm, std::uint64_t incarnation)
{
    std::ostringstream prefix;
    prefix << vm << "-" << std::hex << incarnation;
    return prefix.str();
}

} // namespace

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomIncarnation())
    , m_clock(std::make_unique<MonotonicClock>())
    , m_work(boost::asio::make_work_guard(m_ioContext))
    , m_sweepTimer(m_ioContext)
    , m_metrics(std::make_unique<Metrics>())
    , m_answerMemory(std::make_unique<SharedAnswerMemory>(m_ioContext))
    , m_endpoints(std::make_unique<EndpointTable>(m_settings, *m_clock))
    , m_calls(std::make_unique<HttpCallGroup>())
    , m_cluster(std::make_shared<Cluster>(m_ioContext, *m_clock, m_settings, m_incarnation))
    , m_context(std::make_unique<GenerationContext>(GenerationContext {
          m_ioContext, *m_clock, m_settings, *m_endpoints, *m_metrics, *m_calls, *m_cluster, *m_answerMemory }))
    , m_registry(std::make_unique<GenerationRegistry>(*m_context, idPrefix(m_settings.vm.name, m_incarnation)))
    , m_platform(std::make_shared<PlatformReader>(*m_context, *m_endpoints))
    , m_completions(std::make_unique<CompletionHandler>(*m_context, *m_registry))
    , m_services(std::make_unique<ServiceHandler>(*m_context))
    , m_adminHandler(std::make_unique<AdminHandler>(*m_context, *m_registry, *m_platform))
    , m_listener(std::make_unique<HttpServer>(
          m_ioContext, m_settings.listener, [this](const auto& exchange) { handle(exchange); }))
    , m_admin(std::make_unique<HttpServer>(
          m_ioContext, m_settings.admin, [this](const auto& exchange) { m_adminHandler->handle(exchange); }))
{
    m_adminHandler->onDrain([this] { requestStop(); });
}

Daemon::~Daemon()
{
    // The threads end first, so that no thread here acts on the notifications that stopping the other parts causes.
    m_ioContext.stop();
    for (auto& thread : m_threads)
        thread.join();
    m_platform->stop();
    m_cluster->stop();
    // The call listeners use all members above; none of them is called after this.
    m_calls->cancelAndWait();
}

std::optional<std::string> Daemon::start()
{
    if (auto problem = m_listener->start())
        return problem;
    if (auto problem = m_admin->start())
        return problem;
    const auto runsKey
        = [this](const std::string& key) { return m_registry->findByKey(key) || m_services->runsKey(key); };
    if (auto problem = m_cluster->start(port(), runsKey))
        return problem;
    for (std::int64_t i = 0; i < m_settings.vm.threads; ++i)
        m_threads.emplace_back([this] { m_ioContext.run(); });
    m_platform->start();
    scheduleSweep();
    logInfo(LogComponent::Daemon,
        "VM " + m_settings.vm.name + " in zone " + m_settings.vm.zone + " listens on port " + std::to_string(port())
            + ", with the operators' interface on port " + std::to_string(adminPort()) + ".");
    return std::nullopt;
}

void Daemon::waitForStopRequest()
{
    std::unique_lock lock(m_stopMutex);
    m_stopCondition.wait(lock, [this] { return m_isStopRequested; });
}

void Daemon::requestStop()
{
    const std::lock_guard lock(m_stopMutex);
    m_isStopRequested = true;
    m_stopCondition.notify_all();
}

void Daemon::stop()
{
    logInfo(LogComponent::Daemon, "stopping: this VM now reports that it is not ready.");
    m_adminHandler->setReady(false);
    std::this_thread::sleep_for(m_settings.vm.stopNotice);
    m_isStopping = true;
    m_listener->stopAccepting();
    waitForRequestsInProgress();
    m_platform->stop();
    logInfo(LogComponent::Daemon, "stopped.");
}

unsigned short Daemon::port() const { return m_listener->port(); }

unsigned short Daemon::adminPort() const { return m_admin->port(); }

void Daemon::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    if (m_isStopping) {
        exchange->respond(errorResponse({ 503, "stopping",
            "this VM is being stopped; another one will take the request", "", RunOutcome::NotRun, retryAfterStop }));
        return;
    }
    const auto& request = exchange->request();
    if (request.path() != completionsPath) {
        if (!m_services->handle(exchange))
            exchange->respond(errorResponse({ 404, "not_found",
                "no service has the path " + std::string(request.path()), "", RunOutcome::NotRun, {} }));
        return;
    }
    if (request.method != "POST") {
        exchange->respond(errorResponse(
            { 405, "method_not_allowed", "expected POST; found " + request.method, "", RunOutcome::NotRun, {} }));
        return;
    }
    m_completions->handle(exchange);
}

void Daemon::scheduleSweep()
{
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_registry->sweep();
        m_services->sweep();
        m_cluster->sweep();
        reportConnections();
        scheduleSweep();
    });
}

void Daemon::reportConnections()
{
    const auto counts = m_listener->connectionCounts();
    if (counts == m_reportedConnections)
        return;
    const auto earlier = std::exchange(m_reportedConnections, counts);
    const auto displaced = counts.displaced - earlier.displaced;
    const auto refused = counts.refused - earlier.refused;
    const auto notAccepted = counts.notAccepted - earlier.notAccepted;
    m_metrics->connectionsDisplaced.Increment(static_cast<double>(displaced));
    m_metrics->connectionsRefused.Increment(static_cast<double>(refused));
    m_metrics->connectionsNotAccepted.Increment(static_cast<double>(notAccepted));
    logWarning(LogComponent::Listener,
        "connections are short: " + std::to_string(displaced) + " were closed to make room for others, "
            + std::to_string(refused) + " were refused, and " + std::to_string(notAccepted)
            + " times none could be accepted; " + std::to_string(m_listener->connectionCount()) + " are open.");
}

void Daemon::waitForRequestsInProgress()
{
    const auto end = m_clock->now() + m_settings.vm.stopTimeout;
    while (m_listener->busyCount() || m_registry->runningCount()) {
        if (m_clock->now() >= end) {
            logWarning(LogComponent::Daemon,
                std::to_string(m_listener->busyCount())
                    + " requests are aborted because the time allowed for the stop is over.");
            return;
        }
        std::this_thread::sleep_for(progressPollInterval);
    }
}

} // namespace lupinknot::internal
