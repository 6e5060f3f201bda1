#include "daemon/ServiceHandler.h"

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
{
}

bool ServiceHandler::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto* service = find(exchange->request().path());
    if (!service)
        return false;
    const auto said = exchange->request().headers.find("Lupinknot-Repeatable");
    if (said && *said != "true" && *said != "false") {
        exchange->respond(
            errorResponse({ 400, "invalid_request", "expected true or false; found \"" + std::string(*said) + "\"",
                "Lupinknot-Repeatable", RunOutcome::NotRun, {} }));
        return true;
    }
    const bool repeatable = said ? *said == "true" : service->repeatable;
    std::make_shared<ServiceCall>(m_context, *service, exchange, repeatable)->start();
    return true;
}

// The longest path wins, so that a service can stand beneath another's path.
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
