#include "http/HttpServer.h"

#include "common/DescriptorUse.h"
#include "http/ConnectionAdmission.h"
#include "http/HttpSession.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace lupinknot::internal {

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

std::size_t memoryLimitOf(const HttpServerSettings& settings)
{
    return effectiveRequestMemory(
        static_cast<std::size_t>(settings.maxRequestMemory), static_cast<std::size_t>(settings.maxBodyBytes));
}

// Pause before the next connection is accepted when the process has no descriptor for it.
constexpr Milliseconds acceptPause { 20 };
// Interval at which the open descriptors of the process are counted while connections are accepted.
constexpr Milliseconds countInterval { 250 };
// Refused connections that may wait for the rest of the request, as a divisor of the limit of descriptors.
constexpr std::size_t drainDivisor = 64;

// True for errors that concern one connection only.
bool isOfConnection(boost::system::error_code error)
{
    return error == net::error::connection_aborted || error == net::error::connection_reset;
}

} // namespace

// Accepts connections and tracks the open ones. Lives as long as the server or any of its sessions.
class HttpServer::Listener : public HttpSessionOwner, public std::enable_shared_from_this<Listener> {
public:
    Listener(net::io_context& ioContext, HttpServerSettings settings, Handler handler,
        std::shared_ptr<RequestMemory> requestMemory)
        : m_ioContext(ioContext)
        , m_handler(std::move(handler))
        , m_acceptor(net::make_strand(ioContext))
        , m_requestMemory(
              requestMemory ? std::move(requestMemory) : std::make_shared<RequestMemory>(memoryLimitOf(settings)))
        , m_acceptTimer(m_acceptor.get_executor())
        , m_trimTimer(m_acceptor.get_executor())
        , m_settings(std::make_shared<const HttpServerSettings>(std::move(settings)))
    {
    }

    std::optional<std::string> start()
    {
        boost::system::error_code error;
        const auto bound = settings();
        const auto address = net::ip::make_address(bound->address, error);
        if (error)
            return "the address " + bound->address + " is not an IP address";
        const tcp::endpoint endpoint(address, static_cast<unsigned short>(bound->port));
        m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(net::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(net::socket_base::max_listen_connections, error);
        if (error)
            return "cannot listen on " + bound->address + ":" + std::to_string(bound->port) + ": " + error.message();
        m_port = m_acceptor.local_endpoint(error).port();
        accept();
        return std::nullopt;
    }

    void changeSettings(HttpServerSettings settings)
    {
        const std::lock_guard lock(m_mutex);
        settings.address = m_settings->address;
        settings.port = m_settings->port;
        settings.descriptors = m_settings->descriptors;
        m_settings = std::make_shared<const HttpServerSettings>(std::move(settings));
    }

    void announceStop() { m_isStopping = true; }

    void closeIdleSessions()
    {
        for (const auto& session : openSessions())
            session->closeIfIdle();
    }

    void close()
    {
        m_isStopping = true;
        m_isClosed = true;
        net::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    void abortSessions()
    {
        for (const auto& session : openSessions())
            session->abort();
    }

    unsigned short port() const { return m_port; }

    std::size_t sessionCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sessions.size();
    }

    ConnectionCounts counts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

    std::size_t busyCount() const
    {
        std::size_t count = 0;
        for (const auto& session : openSessions())
            count += session->isBusy() ? 1 : 0;
        return count;
    }

    std::shared_ptr<const HttpServerSettings> settings() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_settings;
    }

    RequestMemory& requestMemory() const override { return *m_requestMemory; }
    bool isStopping() const override { return m_isStopping; }
    void handle(const std::shared_ptr<HttpExchange>& exchange) override { m_handler(exchange); }

    bool sessionChanged(HttpSession* session, ConnectionState state) override
    {
        std::shared_ptr<HttpSession> displaced;
        bool isRefused = false;
        {
            const std::lock_guard lock(m_mutex);
            const auto change = m_admission.changeState(session, state, currentBounds(0));
            isRefused = change.isRefused;
            m_counts.refused += isRefused ? 1 : 0;
            displaced = findDisplaced(change.displaced);
        }
        if (displaced)
            displaced->displace();
        return !isRefused;
    }

    void sessionProgressed(HttpSession* session) override
    {
        const std::lock_guard lock(m_mutex);
        m_admission.progressed(session);
    }

    void sessionClosed(HttpSession* session) override
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(session);
        m_refused.erase(session);
        m_admission.remove(session);
    }

private:
    void accept()
    {
        m_acceptor.async_accept(net::make_strand(m_ioContext),
            [self = shared_from_this()](
                boost::system::error_code error, tcp::socket socket) { self->accepted(error, std::move(socket)); });
    }

    void accepted(boost::system::error_code error, tcp::socket socket)
    {
        if (m_isClosed)
            return;
        if (!error)
            open(std::move(socket));
        if (!error || isOfConnection(error))
            accept();
        else
            acceptLater();
    }

    void acceptLater()
    {
        std::shared_ptr<HttpSession> displaced;
        {
            const std::lock_guard lock(m_mutex);
            ++m_counts.notAccepted;
            displaced = findDisplaced(m_admission.displace());
        }
        if (displaced)
            displaced->displace();
        m_acceptTimer.expires_after(acceptPause);
        m_acceptTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error && !self->m_isClosed)
                self->accept();
        });
    }

    void open(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto session = std::make_shared<HttpSession>(std::move(socket), shared_from_this());
        bool isAdmitted = false;
        bool mayDrain = false;
        std::shared_ptr<HttpSession> displaced;
        {
            const std::lock_guard lock(m_mutex);
            const auto bounds = currentBounds(1);
            const auto decision = m_admission.admit(session.get(), bounds);
            isAdmitted = decision.isAdmitted;
            displaced = findDisplaced(decision.displaced);
            mayDrain = m_refused.size() < bounds.maxDescriptors / drainDivisor;
            if (isAdmitted) {
                m_sessions.emplace(session.get(), session);
            } else {
                ++m_counts.refused;
                m_refused.insert(session.get());
            }
        }
        if (displaced)
            displaced->displace();
        if (!m_isTrimming)
            trim();
        if (isAdmitted)
            session->run();
        else
            session->refuseForConnectionLimit(mayDrain);
    }

    // Closes connections while the process has opened descriptors of its own after they were admitted.
    void trim()
    {
        std::vector<std::shared_ptr<HttpSession>> displaced;
        {
            const std::lock_guard lock(m_mutex);
            const auto bounds = currentBounds(0);
            m_isTrimming = 2 * m_admission.count() > m_admission.room(bounds);
            while (const auto id = m_admission.displaceIfOver(bounds))
                displaced.push_back(findDisplaced(id));
        }
        for (const auto& session : displaced) {
            if (session)
                session->displace();
        }
        if (!m_isTrimming)
            return;
        m_trimTimer.expires_after(countInterval);
        m_trimTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_isClosed)
                self->trim();
        });
    }

    // Called with the lock held.
    std::shared_ptr<HttpSession> findDisplaced(std::optional<ConnectionAdmission::Id> id)
    {
        if (!id)
            return nullptr;
        ++m_counts.displaced;
        const auto found = m_sessions.find(*id);
        return found == m_sessions.end() ? nullptr : found->second.lock();
    }

    // Called with the lock held. Counts the open descriptors again if the last count is too old; `unlisted` of them
    // are connections that are not listed yet.
    ConnectionBounds currentBounds(std::size_t unlisted)
    {
        const auto now = std::chrono::steady_clock::now();
        if (!m_countedAt || now - *m_countedAt >= countInterval) {
            const auto open = countOpenDescriptors();
            m_otherDescriptors = open - std::min(open, m_sessions.size() + m_refused.size() + unlisted);
            m_countedAt = now;
        }
        return { static_cast<std::size_t>(m_settings->maxConnections), descriptorLimit(), m_otherDescriptors,
            m_settings->descriptors };
    }

    std::vector<std::shared_ptr<HttpSession>> openSessions() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<HttpSession>> open;
        for (const auto& entry : m_sessions) {
            if (auto session = entry.second.lock())
                open.push_back(std::move(session));
        }
        return open;
    }

    net::io_context& m_ioContext;
    const Handler m_handler;
    tcp::acceptor m_acceptor;
    const std::shared_ptr<RequestMemory> m_requestMemory;
    net::steady_timer m_acceptTimer;
    net::steady_timer m_trimTimer;
    // Used on the acceptor's strand only.
    bool m_isTrimming { false };
    unsigned short m_port { 0 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isClosed { false };
    mutable std::mutex m_mutex;
    std::shared_ptr<const HttpServerSettings> m_settings;
    std::unordered_map<ConnectionAdmission::Id, std::weak_ptr<HttpSession>> m_sessions;
    std::unordered_set<const HttpSession*> m_refused;
    ConnectionAdmission m_admission;
    ConnectionCounts m_counts;
    std::size_t m_otherDescriptors { 0 };
    std::optional<std::chrono::steady_clock::time_point> m_countedAt;
};

HttpServer::HttpServer(net::io_context& ioContext, HttpServerSettings settings, Handler handler,
    std::shared_ptr<RequestMemory> requestMemory)
    : m_listener(
        std::make_shared<Listener>(ioContext, std::move(settings), std::move(handler), std::move(requestMemory)))
{
}

HttpServer::~HttpServer() { m_listener->close(); }

std::optional<std::string> HttpServer::start() { return m_listener->start(); }

unsigned short HttpServer::port() const { return m_listener->port(); }

void HttpServer::changeSettings(HttpServerSettings settings) { m_listener->changeSettings(std::move(settings)); }

void HttpServer::announceStop() { m_listener->announceStop(); }

void HttpServer::closeIdleConnections() { m_listener->closeIdleSessions(); }

void HttpServer::stopAccepting() { m_listener->close(); }

void HttpServer::abortConnections() { m_listener->abortSessions(); }

std::size_t HttpServer::busyCount() const { return m_listener->busyCount(); }

ConnectionCounts HttpServer::connectionCounts() const { return m_listener->counts(); }

std::size_t HttpServer::connectionCount() const { return m_listener->sessionCount(); }

} // namespace lupinknot::internal
