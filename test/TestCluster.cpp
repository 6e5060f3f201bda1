#include "TestCluster.h"

namespace lupinknot::internal {

namespace {

constexpr Milliseconds callTimeout { 30000 };
constexpr Milliseconds engineStep { 2 };

EngineStandInSettings engineSettings(std::size_t index)
{
    EngineStandInSettings settings;
    settings.name = "e" + std::to_string(index + 1);
    settings.step = engineStep;
    settings.stallChance = 0;
    settings.seed = index + 1;
    return settings;
}

} // namespace

TestCluster::TestCluster(std::size_t engineCount)
    : m_platform(std::make_unique<PlatformStandIn>("127.0.0.1", 0))
{
    settings.vm.name = "a1";
    settings.vm.zone = "z1";
    settings.vm.stopNotice = Milliseconds { 0 };
    settings.recovery.endpointWait = Milliseconds { 300 };
    settings.silence.floor = Milliseconds { 100 };
    settings.silence.ceiling = Milliseconds { 200 };
    settings.silence.prefill = Milliseconds { 400 };
    settings.ejection.initial = Milliseconds { 50 };
    m_platform->start();
    settings.platform.address = "127.0.0.1";
    settings.platform.port = m_platform->port();
    settings.platform.pollInterval = Milliseconds { 20 };
    for (std::size_t i = 0; i < engineCount; ++i) {
        m_engines.push_back(std::make_unique<EngineStandIn>(engineSettings(i)));
        m_engines.back()->start();
        settings.endpoints.push_back(
            { "e" + std::to_string(i + 1), "z1", "127.0.0.1", m_engines.back()->port(), { "story" } });
    }
    for (const auto* name : { "s1", "s2" }) {
        m_services.push_back(std::make_unique<ServiceStandIn>(name, "127.0.0.1", 0));
        m_services.back()->start();
        settings.endpoints.push_back({ name, "z1", "127.0.0.1", m_services.back()->port(), {} });
    }
    settings.services.push_back({ "thumbs", "/thumbs", { "s1", "s2" }, Milliseconds { 2000 }, 3, false });
}

TestCluster::~TestCluster() = default;

void TestCluster::start()
{
    m_daemon = std::make_unique<Daemon>(settings);
    m_daemon->start();
    m_load.daemons.push_back({ { "127.0.0.1", m_daemon->port() }, { "127.0.0.1", m_daemon->adminPort() } });
}

void TestCluster::waitUntilRefused(unsigned short port)
{
    becomesTrue([port] {
        const auto result = fetch({ "127.0.0.1", port }, { "GET", "/stats", {}, {} }, callTimeout);
        return result.failure == HttpCallFailure::NotConnected;
    });
}

GenerationCallerOptions TestCluster::caller(const std::string& key) const
{
    GenerationCallerOptions options;
    options.promptIds = { 11, 12, 13 };
    options.maxTokens = 20;
    options.model = "story";
    options.idempotencyKey = key;
    return options;
}

GenerationResult TestCluster::run(GenerationCallerOptions options) const
{
    return std::make_shared<GenerationCaller>(m_load, std::move(options))->run();
}

HttpFetchResult TestCluster::post(const std::string& target, const std::string& body, HttpHeaders headers) const
{
    return fetch({ "127.0.0.1", m_daemon->port() }, { "POST", target, std::move(headers), body }, callTimeout);
}

HttpFetchResult TestCluster::ask(const std::string& adminTarget) const
{
    return fetch({ "127.0.0.1", m_daemon->adminPort() }, { "GET", adminTarget, {}, {} }, callTimeout);
}

std::size_t TestCluster::engineRequests() const
{
    std::size_t count = 0;
    for (const auto& engine : m_engines)
        count += engine->work().requests;
    return count;
}

} // namespace lupinknot::internal
