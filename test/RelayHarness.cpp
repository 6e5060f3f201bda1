#include "RelayHarness.h"
#include "RunUntil.h"

namespace lupinknot::internal {

RelayHarness::RelayHarness()
{
    settings.availabilityZone = "a";
    m_builder.addService({ "s", 0, true, false, 5 });
}

RelayDaemon& RelayHarness::daemon()
{
    if (!m_daemon) {
        m_daemon = std::make_unique<RelayDaemon>(settings, RelayAddresses {}, m_protocol);
        if (const auto problem = m_daemon->start())
            throw std::runtime_error(*problem);
    }
    return *m_daemon;
}

void RelayHarness::useEngineService() { m_builder.addService({ "s", 0, true, true, 5 }); }

void RelayHarness::useCopyingService(Milliseconds handleTime)
{
    m_builder.addService({ "s", 0, true, false, 5, true, handleTime });
}

void RelayHarness::addRoute(const std::string& prefix, RequestKind kind, unsigned maxAttempts, bool isPublic)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.pathPrefix = "/" + prefix + "/";
    route.kind = kind;
    route.isResumable = true;
    route.isPublic = isPublic;
    route.maxAttempts = maxAttempts;
    route.longestPause = Milliseconds { 700 };
    route.rank = m_rank;
    route.services = m_services;
    m_builder.addRoute(std::move(route));
}

void RelayHarness::addKeyedRoute(const std::string& prefix, const std::string& key, const std::string& organisation)
{
    addRoute(prefix, RequestKind::NonIdempotent, 1, false);
    m_builder.addKey(key, organisation);
}

void RelayHarness::allowBodies(std::int64_t bytes)
{
    HttpServerSettings limits;
    limits.maxBodyBytes = bytes;
    m_builder.callerLimits(limits);
}

void RelayHarness::configure() { daemon().applyConfiguration(m_builder.version(++m_version).build()); }

ScriptedEndpoint& RelayHarness::addEndpoint(const std::string& id, const std::string& zone, const std::string& version)
{
    auto& endpoint = m_endpoints.emplace_back(daemon().ioContext());
    m_entries.push_back({ id, "s", { "127.0.0.1", endpoint.port() }, zone, 4, false, version });
    return endpoint;
}

void RelayHarness::list() { daemon().directory().replaceAll(m_entries, daemon().clock().now()); }

std::shared_ptr<TestCaller> RelayHarness::call(const std::string& path, const HttpHeaders& extra, const std::string& id)
{
    auto caller = std::make_shared<TestCaller>();
    HttpRequest request { "POST", path, { { "Host", "h" }, { "X-Request-Id", id } }, "body" };
    for (const auto& field : extra.fields())
        request.headers.add(field.name, field.value);
    caller->connection = ClientConnection::open(daemon().ioContext(), { "127.0.0.1", daemon().frontPort() }, {});
    caller->connection->send(request, caller);
    return caller;
}

bool RelayHarness::runUntil(const std::function<bool()>& condition)
{
    return internal::runUntil(daemon().ioContext(), condition);
}

std::string signedHeadFor(const std::string& request)
{
    const std::string name = "X-Request-Id: ";
    const auto start = request.find(name);
    const auto end = request.find("\r\n", start);
    return request.substr(start, end - start) + "\r\nX-Response-Signature: s\r\n";
}

} // namespace lupinknot::internal
