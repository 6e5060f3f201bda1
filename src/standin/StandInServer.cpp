#include "standin/StandInServer.h"

#include "common/Log.h"

namespace lupinknot::internal {

namespace {

constexpr unsigned threadCount = 2;
constexpr Milliseconds reopenRetry { 10 };
constexpr std::int64_t maxConnections = 20000;

} // namespace

StandInServer::StandInServer(std::string address, std::int64_t port, HttpServer::Handler handler)
    : m_work(boost::asio::make_work_guard(m_ioContext))
    , m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_restartTimer(m_ioContext)
    , m_port(port)
{
}

StandInServer::~StandInServer() { stop(); }

std::optional<std::string> StandInServer::start()
{
    HttpServerSettings settings;
    settings.address = m_address;
    settings.port = m_port;
    settings.maxConnections = maxConnections;
    auto server = std::make_unique<HttpServer>(m_ioContext, settings, m_handler);
    if (auto problem = server->start())
        return problem;
    const std::lock_guard lock(m_mutex);
    m_server = std::move(server);
    m_port = m_server->port();
    while (m_threads.size() < threadCount)
        m_threads.emplace_back([this] { m_ioContext.run(); });
    return std::nullopt;
}

void StandInServer::stop()
{
    m_ioContext.stop();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

unsigned short StandInServer::port() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<unsigned short>(m_port);
}

void StandInServer::crash(Milliseconds downTime)
{
    const std::lock_guard lock(m_mutex);
    if (!m_server)
        return;
    m_server->stopAccepting();
    m_server->abortConnections();
    m_server.reset();
    m_restartTimer.expires_after(downTime);
    m_restartTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            open();
    });
}

void StandInServer::open()
{
    if (const auto problem = start()) {
        m_restartTimer.expires_after(reopenRetry);
        m_restartTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                open();
        });
    }
}

} // namespace lupinknot::internal
