#include "daemon/ServiceHandler.h"

#include "daemon/Cluster.h"
#include "daemon/KeyedServiceCall.h"
#include "daemon/ServiceCall.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

namespace lupinknot::internal {

namespace {

bool isBeneath(std::string_view path, std::string_view root)
{
    if (path.substr(0, root.size()) != root)
        return false;
    return path.size() == root.size() || root.back() == '/' || path[root.size()] == '/';
}

} // namespace

ServiceHandler::ServiceHandler(const GenerationContext& context)
    : m_context(context)
    , m_router(context)
{
}

ServiceHandler::~ServiceHandler() = default;

bool ServiceHandler::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto* service = find(exchange->request().path());
    if (!service)
        return false;
    const auto repeatableHeader = exchange->request().headers.find("Lupinknot-Repeatable");
    if (repeatableHeader && *repeatableHeader != "true" && *repeatableHeader != "false") {
        exchange->respond(errorResponse(
            { 400, "invalid_request", "expected true or false; found \"" + std::string(*repeatableHeader) + "\"",
                "Lupinknot-Repeatable", RunOutcome::NotRun, {} }));
        return true;
    }
    const bool repeatable = repeatableHeader ? *repeatableHeader == "true" : service->repeatable;
    if (exchange->request().headers.find("Idempotency-Key"))
        handleKeyed(exchange, *service, repeatable);
    else
        std::make_shared<ServiceCall>(m_context, *service, exchange, repeatable)->start();
    return true;
}

bool ServiceHandler::runsKey(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_calls.find(key);
    if (entry == m_calls.end())
        return false;
    if (!entry->second->isKeyReusable())
        return true;
    entry->second->detachJournal();
    m_calls.erase(entry);
    return false;
}

void ServiceHandler::sweep()
{
    const auto now = m_context.clock.now();
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        const auto endedAt = entry->second->endedAt();
        const bool isExpired = endedAt && now - *endedAt >= m_context.settings.generation.retention;
        if (isExpired)
            entry->second->detachJournal();
        entry = isExpired ? m_calls.erase(entry) : std::next(entry);
    }
}

void ServiceHandler::handleKeyed(
    const std::shared_ptr<HttpExchange>& exchange, const ServiceSettings& service, bool repeatable)
{
    const auto key = KeyedServiceCall::keyOf(exchange->request(), service.name);
    const auto join = [this, exchange, &service, key, repeatable](
                          bool mayHaveRun) { joinCall(exchange, service, key, repeatable, mayHaveRun); };
    m_router.route(exchange, key,
        { [this, key] { return runsKey(key); }, [join] { join(false); },
            [this, join, key] {
                // A record existed, so the work may have run, whichever request takes it over first.
                m_context.cluster.takeOver(key);
                join(true);
            },
            [exchange](const JsonError& error) { exchange->respond(errorResponse(error)); } });
}

void ServiceHandler::joinCall(const std::shared_ptr<HttpExchange>& exchange, const ServiceSettings& service,
    const std::string& key, bool repeatable, bool mayHaveRun)
{
    std::shared_ptr<KeyedServiceCall> call;
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        auto& entry = m_calls[key];
        isNew = !entry;
        if (isNew)
            entry = std::make_shared<KeyedServiceCall>(m_context, service, exchange->request(), key, repeatable);
        call = entry;
    }
    if (!call->isSameRequest(exchange->request())) {
        exchange->respond(errorResponse({ 422, "key_conflict", "the Idempotency-Key belongs to another request",
            "Idempotency-Key", RunOutcome::NotRun, {} }));
        return;
    }
    call->join(exchange);
    if (isNew && mayHaveRun && !repeatable)
        call->completeAsUnknown();
    else if (isNew)
        call->start();
}

// The longest matching path is chosen, so that the path of one service can lie below another's.
const ServiceSettings* ServiceHandler::find(std::string_view path) const
{
    const ServiceSettings* best = nullptr;
    for (const auto& service : m_context.settings.services) {
        if (isBeneath(path, service.path) && (!best || service.path.size() > best->path.size()))
            best = &service;
    }
    return best;
}

} // namespace lupinknot::internal
