#include "TestCluster.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace lupinknot::internal {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds callTimeout { 30000 };
constexpr Milliseconds engineTokenInterval { 2 };

EngineStandInSettings engineSettings(std::size_t index)
{
    EngineStandInSettings settings;
    settings.name = "e" + std::to_string(index + 1);
    settings.step = engineTokenInterval;
    settings.stallChance = 0;
    settings.seed = index + 1;
    return settings;
}

// The ports lie below the range that the system uses for outgoing connections, so that a restarted VM finds its port
// free. Two test processes start at different ports.
std::int64_t freePort()
{
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    static int next = static_cast<int>(getpid()) * 64 % portCount;
    boost::asio::io_context ioContext;
    for (;;) {
        next = (next + 1) % portCount;
        const auto port = static_cast<unsigned short>(firstPort + next);
        tcp::acceptor acceptor(ioContext);
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, error);
        if (!error)
            return port;
    }
}

} // namespace

TestCluster::TestCluster(std::size_t engineCount, std::size_t vmCount)
    : m_platform(std::make_unique<PlatformStandIn>("127.0.0.1", 0))
    , m_vmCount(vmCount)
{
    for (std::size_t i = 0; i < vmCount; ++i)
        m_ports.push_back({ freePort(), freePort(), freePort() });
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
    for (std::size_t i = 0; i < m_vmCount; ++i) {
        m_daemons.push_back(std::make_unique<Daemon>(settingsOf(i)));
        m_daemons.back()->start();
        m_load.daemons.push_back({ { "127.0.0.1", daemon(i).port() }, { "127.0.0.1", daemon(i).adminPort() } });
    }
    becomesTrue([this] { return areVmsLinked(); });
}

void TestCluster::killVm(std::size_t index) { m_daemons[index].reset(); }

void TestCluster::restartVm(std::size_t index)
{
    startVm(index);
    becomesTrue([this] { return areVmsLinked(); });
}

void TestCluster::startVm(std::size_t index)
{
    m_daemons[index] = std::make_unique<Daemon>(settingsOf(index));
    m_daemons[index]->start();
}

std::size_t TestCluster::runningVm() const
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (!m_daemons[i])
            continue;
        const auto status = nlohmann::json::parse(fetchAdmin("/v1/status", i).response.body, nullptr, false);
        if (status.is_object() && status["generations_running"].get<std::size_t>())
            return i;
    }
    return m_daemons.size();
}

bool TestCluster::areVmsLinked() const
{
    std::size_t alive = 0;
    for (const auto& daemon : m_daemons)
        alive += daemon ? 1 : 0;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (!m_daemons[i])
            continue;
        const auto status = nlohmann::json::parse(fetchAdmin("/v1/status", i).response.body, nullptr, false);
        if (!status.is_object() || status["peers"].size() + 1 != alive)
            return false;
    }
    return true;
}

DaemonSettings TestCluster::settingsOf(std::size_t vm) const
{
    auto copy = settings;
    copy.vm.name = "vm" + std::to_string(vm + 1);
    copy.listener.port = m_ports[vm].callers;
    copy.admin.port = m_ports[vm].operators;
    copy.cluster.port = m_ports[vm].peers;
    copy.cluster.reconnectInterval = Milliseconds { 20 };
    for (std::size_t i = 0; i < m_vmCount; ++i) {
        if (i != vm)
            copy.peers.push_back({ "vm" + std::to_string(i + 1), "z1", "127.0.0.1", m_ports[i].peers });
    }
    return copy;
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

HttpFetchResult TestCluster::post(
    const std::string& target, const std::string& body, HttpHeaders headers, std::size_t vm) const
{
    return fetch(m_load.daemons[vm].callers, { "POST", target, std::move(headers), body }, callTimeout);
}

HttpFetchResult TestCluster::fetchAdmin(const std::string& adminTarget, std::size_t vm) const
{
    return fetch(m_load.daemons[vm].operators, { "GET", adminTarget, {}, {} }, callTimeout);
}

std::size_t TestCluster::engineRequests() const
{
    std::size_t count = 0;
    for (const auto& engine : m_engines)
        count += engine->work().requests;
    return count;
}

} // namespace lupinknot::internal
