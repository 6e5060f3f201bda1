#include "daemon/AdminHandler.h"

#include "daemon/Cluster.h"
#include "daemon/EndpointTable.h"
#include "daemon/GenerationRegistry.h"
#include "daemon/LiveGeneration.h"
#include "daemon/Metrics.h"
#include "daemon/PlatformReader.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr std::string_view generationsPath = "/v1/generations/";

HttpResponse jsonResponse(const json& body, unsigned status = 200)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() + "\n" };
}

json describeEndpoint(const EndpointState& endpoint, Milliseconds now)
{
    const auto& settings = endpoint.settings();
    return { { "name", settings.name }, { "zone", settings.zone }, { "address", settings.socketAddress().text() },
        { "listing", nameIn(endpointListingNames, endpoint.listing()) }, { "in_flight", endpoint.inFlight() },
        { "eligible", endpoint.isEligible(now) },
        { "ejected_for_ms", std::max<std::int64_t>(0, endpoint.ejectedFor(now).count()) },
        { "silence_patience_ms", endpoint.liveness()->silenceTimeout().count() } };
}

json describeAttempt(const AttemptRecord& attempt)
{
    json described { { "number", attempt.number }, { "endpoint", attempt.endpoint }, { "position", attempt.position } };
    if (attempt.failure)
        described["failure"] = traitsOf(*attempt.failure).name;
    if (attempt.resumeGap)
        described["resume_gap_ms"] = attempt.resumeGap->count();
    if (attempt.resumeAfterDetection)
        described["resume_after_detection_ms"] = attempt.resumeAfterDetection->count();
    return described;
}

} // namespace

AdminHandler::AdminHandler(
    const GenerationContext& context, const GenerationRegistry& registry, const PlatformReader& platform)
    : m_context(context)
    , m_registry(registry)
    , m_platform(platform)
{
}

void AdminHandler::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    exchange->respond(answer(exchange->request().method, exchange->request().path()));
}

HttpResponse AdminHandler::answer(const std::string& method, std::string_view path)
{
    struct Route {
        std::string_view method;
        std::string_view path;
        HttpResponse (AdminHandler::*answer)();
    };
    static constexpr std::array<Route, 5> routes { {
        { "GET", "/healthz", &AdminHandler::health },
        { "GET", "/readyz", &AdminHandler::readiness },
        { "GET", "/metrics", &AdminHandler::metrics },
        { "GET", "/v1/status", &AdminHandler::status },
        { "POST", "/v1/drain", &AdminHandler::drain },
    } };
    for (const auto& route : routes) {
        if (route.method == method && route.path == path)
            return (this->*route.answer)();
    }
    if (method == "GET" && path.substr(0, generationsPath.size()) == generationsPath)
        return generation(std::string(path.substr(generationsPath.size())));
    return errorResponse({ 404, "not_found", "nothing answers " + method + " " + std::string(path) + " here", "",
        RunOutcome::NotRun, {} });
}

HttpResponse AdminHandler::health() { return { 200, { { "Content-Type", "text/plain" } }, "ok\n" }; }

HttpResponse AdminHandler::readiness()
{
    if (m_isReady)
        return { 200, { { "Content-Type", "text/plain" } }, "ready\n" };
    return { 503, { { "Content-Type", "text/plain" } }, "stopping\n" };
}

HttpResponse AdminHandler::metrics()
{
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } },
        m_context.metrics.exposition(m_context.endpoints) };
}

HttpResponse AdminHandler::status()
{
    const auto& settings = m_context.settings;
    json body { { "vm", settings.vm.name }, { "zone", settings.vm.zone }, { "ready", m_isReady.load() },
        { "generations_held", m_registry.heldCount() }, { "generations_running", m_registry.runningCount() } };
    const auto age = m_platform.age();
    body["platform_list_age_ms"] = age ? json(age->count()) : json(nullptr);
    body["records_held"] = m_context.cluster.recordCount();
    body["peer_bytes_sent"] = m_context.cluster.sentBytes();
    body["peers"] = json::array();
    for (const auto& peer : m_context.cluster.peersUp())
        body["peers"].push_back(peer.vm);
    body["endpoints"] = json::array();
    for (const auto& endpoint : m_context.endpoints.endpoints())
        body["endpoints"].push_back(describeEndpoint(*endpoint, m_context.clock.now()));
    return jsonResponse(body);
}

HttpResponse AdminHandler::drain()
{
    if (m_onDrain)
        m_onDrain();
    return jsonResponse({ { "vm", m_context.settings.vm.name }, { "draining", true } });
}

HttpResponse AdminHandler::generation(const std::string& id)
{
    const auto found = m_registry.findById(id);
    if (!found)
        return errorResponse(
            { 404, "not_found", "this VM holds no generation \"" + id + "\"", "", RunOutcome::NotRun, {} });
    json body { { "id", id }, { "model", found->request().model }, { "released", found->releasedLength() },
        { "over", found->isOver() } };
    body["attempts"] = json::array();
    for (const auto& attempt : found->attempts())
        body["attempts"].push_back(describeAttempt(attempt));
    return jsonResponse(body);
}

} // namespace lupinknot::internal
