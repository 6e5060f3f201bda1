#include "http/HttpCall.h"

#include "http/ClientConnection.h"
#include "http/HttpCallListener.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <vector>

namespace lupinknot::internal {

namespace net = boost::asio;

namespace {

constexpr unsigned defaultThreads = 4;

unsigned& threadCount()
{
    static unsigned count = defaultThreads;
    return count;
}

// The threads that all calls of the process share. Each has an io_context of its own, because a connection is used on
// one thread only.
class CallThreads {
public:
    static CallThreads& instance()
    {
        static CallThreads threads(threadCount());
        return threads;
    }

    CallThreads(const CallThreads&) = delete;
    CallThreads& operator=(const CallThreads&) = delete;

    net::io_context& next() { return m_threads[m_next++ % m_threads.size()]->ioContext; }

private:
    struct Thread {
        net::io_context ioContext { 1 };
        net::executor_work_guard<net::io_context::executor_type> work { ioContext.get_executor() };
        std::thread thread { [this] { ioContext.run(); } };
    };

    explicit CallThreads(unsigned count)
    {
        for (unsigned i = 0; i < std::max(count, 1U); ++i)
            m_threads.push_back(std::make_unique<Thread>());
    }

    ~CallThreads()
    {
        for (const auto& thread : m_threads)
            thread->ioContext.stop();
        for (const auto& thread : m_threads)
            thread->thread.join();
    }

    std::vector<std::unique_ptr<Thread>> m_threads;
    std::atomic<std::size_t> m_next { 0 };
};

// Used on one of the threads only, except for cancel().
class ConnectionCall final : public HttpCall,
                             public ClientConnectionListener,
                             public std::enable_shared_from_this<ConnectionCall> {
public:
    ConnectionCall(net::io_context& ioContext, SocketAddress address, HttpRequest request, Milliseconds timeout,
        std::shared_ptr<HttpCallListener> listener)
        : m_ioContext(ioContext)
        , m_address(std::move(address))
        , m_request(std::move(request))
        , m_timeout(timeout)
        , m_listener(std::move(listener))
        , m_resolver(ioContext)
        , m_timer(ioContext)
    {
    }

    void start()
    {
        net::post(m_ioContext, [self = shared_from_this()] {
            if (!self->m_listener)
                return;
            self->startTimer();
            self->resolve();
        });
    }

    void cancel() override
    {
        net::post(m_ioContext,
            [self = shared_from_this()] { self->fail(HttpCallFailure::Cancelled, "the call was cancelled"); });
    }

    void responseHeaderReceived(const HttpResponse& head) override
    {
        forward([&] { m_listener->headerArrived(head.status, head.headers); });
    }

    void responseBodyReceived(std::string_view piece) override
    {
        forward([&] { m_listener->bodyArrived(piece); });
    }

    bool responseEnded() override
    {
        const auto self = shared_from_this();
        if (const auto listener = end())
            listener->ended();
        return false;
    }

    void connectionFailed(ClientFailure failure) override
    {
        const bool isConnected = failure != ClientFailure::NotConnected;
        fail(isConnected ? HttpCallFailure::Lost : HttpCallFailure::NotConnected,
            std::string(nameIn(clientFailureNames, failure)));
    }

private:
    void resolve()
    {
        boost::system::error_code error;
        net::ip::make_address(m_address.host, error);
        if (!error) {
            send(m_address);
            return;
        }
        m_resolver.async_resolve(m_address.host, std::to_string(m_address.port),
            [self = shared_from_this()](
                boost::system::error_code failure, const net::ip::tcp::resolver::results_type& found) {
                if (failure || found.empty())
                    self->fail(HttpCallFailure::NotConnected, "the host is not known");
                else
                    self->send({ found.begin()->endpoint().address().to_string(), self->m_address.port });
            });
    }

    void send(const SocketAddress& address)
    {
        if (!m_listener)
            return;
        if (!m_request.headers.find("Host"))
            m_request.headers.add("Host", m_address.text());
        const bool hasBody = !m_request.body.empty() || m_request.method == "POST" || m_request.method == "PUT";
        if (hasBody && !m_request.headers.find("Content-Type"))
            m_request.headers.add("Content-Type", "application/octet-stream");
        m_connection = ClientConnection::open(m_ioContext, address, { .connectTimeout = m_timeout });
        m_connection->send(m_request, weak_from_this());
    }

    void startTimer()
    {
        m_timer.expires_after(m_timeout);
        // Keeps the call alive until it ends.
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->fail(HttpCallFailure::TimedOut, "the call's time is over");
        });
    }

    // A listener that throws loses its call only.
    template <typename Action> void forward(Action action)
    {
        if (!m_listener)
            return;
        const auto self = shared_from_this();
        try {
            action();
        } catch (const std::exception& error) {
            fail(HttpCallFailure::Lost, error.what());
        }
    }

    void fail(HttpCallFailure failure, const std::string& message)
    {
        const auto self = shared_from_this();
        if (const auto listener = end())
            listener->failed(failure, message);
    }

    // Ends the call and returns its listener; null when it has ended before. The listener may own the call, so neither
    // keeps the other any longer.
    std::shared_ptr<HttpCallListener> end()
    {
        m_timer.cancel();
        m_resolver.cancel();
        if (const auto connection = std::exchange(m_connection, nullptr))
            net::post(m_ioContext, [connection] { connection->close(); });
        return std::exchange(m_listener, nullptr);
    }

    net::io_context& m_ioContext;
    const SocketAddress m_address;
    HttpRequest m_request;
    const Milliseconds m_timeout;
    std::shared_ptr<HttpCallListener> m_listener;
    net::ip::tcp::resolver m_resolver;
    net::steady_timer m_timer;
    std::shared_ptr<ClientConnection> m_connection;
};

} // namespace

std::shared_ptr<HttpCall> HttpCall::start(const SocketAddress& address, const HttpRequest& request,
    Milliseconds timeout, std::shared_ptr<HttpCallListener> listener)
{
    auto call = std::make_shared<ConnectionCall>(
        CallThreads::instance().next(), address, request, timeout, std::move(listener));
    call->start();
    return call;
}

void setHttpCallThreads(unsigned count) { threadCount() = count; }

} // namespace lupinknot::internal
