#include "http/HttpServer.h"
#include "RawConnection.h"
#include "common/ByteSizes.h"
#include "http/HttpBodySource.h"
#include "http/HttpExchange.h"
#include "http/HttpFetch.h"

#include <boost/asio/executor_work_guard.hpp>
#include <condition_variable>
#include <mutex>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// Runs a server on its own threads and keeps each exchange until the test responds to it.
class ManualResponseServer {
public:
    explicit ManualResponseServer(HttpServerSettings settings = {})
        : m_work(boost::asio::make_work_guard(m_ioContext))
        , m_server(m_ioContext, std::move(settings),
              [this](const std::shared_ptr<HttpExchange>& exchange) { hold(exchange); })
    {
        m_server.start();
        for (int i = 0; i < 2; ++i)
            m_threads.emplace_back([this] { m_ioContext.run(); });
    }

    ~ManualResponseServer()
    {
        m_exchanges.clear();
        m_ioContext.stop();
        for (auto& thread : m_threads)
            thread.join();
    }

    ManualResponseServer(const ManualResponseServer&) = delete;
    ManualResponseServer& operator=(const ManualResponseServer&) = delete;

    HttpServer& server() { return m_server; }
    unsigned short port() const { return m_server.port(); }

    std::shared_ptr<HttpExchange> exchange(std::size_t index = 0)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait(lock, [&] { return m_exchanges.size() > index; });
        return m_exchanges[index];
    }

    void notePeerDisconnected()
    {
        const std::lock_guard lock(m_mutex);
        m_isPeerDisconnected = true;
        m_condition.notify_all();
    }

    void waitForPeerDisconnect()
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait(lock, [this] { return m_isPeerDisconnected; });
    }

private:
    void hold(const std::shared_ptr<HttpExchange>& exchange)
    {
        const std::lock_guard lock(m_mutex);
        m_exchanges.push_back(exchange);
        m_condition.notify_all();
    }

    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    bool m_isPeerDisconnected { false };
    HttpServer m_server;
    std::vector<std::thread> m_threads;
};

// An endless body in large pieces.
class EndlessSource final : public HttpBodySource {
public:
    HttpBodyPiece next() override
    {
        produced += pieceSize;
        return { std::string(pieceSize, 'x'), false };
    }

    static constexpr std::size_t pieceSize = 64 * kibibyte;
    std::atomic<std::size_t> produced { 0 };
};

const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

void checkContains(const std::string& text, const std::string& part)
{
    CHECK_TEXT(contains(text, part), ("expected to find \"" + part + "\" in \"" + text + "\"").c_str());
}

} // namespace

TEST_GROUP(HttpServer) {};

TEST(HttpServer, PassesMethodTargetHeadersAndBodyToHandler)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send("PUT /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 2\r\n\r\nhi");
    const auto& received = server.exchange()->request();
    STRCMP_EQUAL("PUT", received.method.c_str());
    STRCMP_EQUAL("/a/b?c=d", received.target.c_str());
    STRCMP_EQUAL("/a/b", std::string(received.path()).c_str());
    STRCMP_EQUAL("1", std::string(received.headers.find("x-one").value_or("none")).c_str());
    STRCMP_EQUAL("hi", received.body.c_str());
}

// A connection must stay open after its peer has sent its next request early.
TEST(HttpServer, RespondsAfterPeerHasPipelinedItsNextRequest)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send(request);
    const auto first = server.exchange(0);
    peer.send(request);
    first->respond({ 200, {}, "first" });
    server.exchange(1)->respond({ 200, {}, "second" });
    const auto received = peer.readUntil("second");
    checkContains(received, "first");
    checkContains(received, "second");
}

TEST(HttpServer, ServesANextRequestThatArrivesInPiecesDuringTheFirst)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send(request);
    const auto first = server.exchange(0);
    for (const auto byte : request.substr(0, request.size() - 1)) {
        peer.send(std::string(1, byte));
        std::this_thread::sleep_for(Milliseconds { 1 });
    }
    first->respond({ 200, {}, "first" });
    peer.readUntil("first");
    peer.send(request.substr(request.size() - 1));
    server.exchange(1)->respond({ 200, {}, "second" });
    checkContains(peer.readUntil("second"), "second");
}

// Guards against a response that is lost, or a request that is read from its middle, when a peer sends more than the
// server reads ahead.
TEST(HttpServer, ClosesAfterTheResponseWhenMoreThanAHeaderArrivesAhead)
{
    ManualResponseServer server({ .maxHeaderBytes = 1024 });
    RawConnection peer(server.port());
    peer.send(request);
    const auto first = server.exchange(0);
    peer.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
    std::this_thread::sleep_for(Milliseconds { 50 });
    first->respond({ 200, {}, "first" });
    const auto received = peer.readAll();
    checkContains(received, "first");
    checkContains(received, "Connection: close");
}

TEST(HttpServer, RefusesAHeaderThatIsTooLarge)
{
    ManualResponseServer server({ .maxHeaderBytes = 1024 });
    RawConnection peer(server.port());
    peer.send("GET / HTTP/1.1\r\nX-Flood: " + std::string(5000, 'x') + "\r\n\r\n");
    const auto received = peer.readAll();
    checkContains(received, "HTTP/1.1 431");
    checkContains(received, "limit of 1024 bytes");
    checkContains(received, "Lupinknot-Outcome: not-run");
}

TEST(HttpServer, RefusesABodyThatIsTooLarge)
{
    ManualResponseServer server({ .maxBodyBytes = 1000 });
    RawConnection peer(server.port());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
    const auto received = peer.readUntil("bytes");
    checkContains(received, "HTTP/1.1 413");
    checkContains(received, "limit of 1000 bytes");
}

// Guards against a server that collects trailers without end.
TEST(HttpServer, RefusesTrailersThatAreTooLarge)
{
    ManualResponseServer server({ .maxHeaderBytes = 1024 });
    RawConnection peer(server.port());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Flood: "
        + std::string(5000, 'x'));
    const auto received = peer.readAll();
    checkContains(received, "HTTP/1.1 431");
    checkContains(received, "limit of 1024 bytes");
    checkContains(received, "Lupinknot-Outcome: not-run");
    checkContains(received, "Connection: close");
}

TEST(HttpServer, RefusesAChunkExtensionThatIsTooLarge)
{
    ManualResponseServer server({ .maxHeaderBytes = 1024 });
    RawConnection peer(server.port());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;" + std::string(5000, 'x'));
    const auto received = peer.readAll();
    checkContains(received, "HTTP/1.1 431");
    checkContains(received, "Lupinknot-Outcome: not-run");
}

TEST(HttpServer, AcceptsTrailersAndChunkExtensionsWithinTheHeaderLimit)
{
    ManualResponseServer server({ .maxHeaderBytes = 1024 });
    RawConnection peer(server.port());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;" + std::string(900, 'x')
        + "\r\nhi\r\n0\r\nX-Trailer: " + std::string(900, 'x') + "\r\n\r\n");
    STRCMP_EQUAL("hi", server.exchange()->request().body.c_str());
}

TEST(HttpServer, RefusesIncompleteHeaderAfterTimeout)
{
    ManualResponseServer server({ .headerTimeout = Milliseconds { 20 } });
    RawConnection peer(server.port());
    peer.send("GET / HTTP/1.1\r\nX-Half: ");
    checkContains(peer.readAll(), "HTTP/1.1 408");
}

TEST(HttpServer, RefusesIncompleteBodyAfterTimeout)
{
    ManualResponseServer server({ .bodyTimeout = Milliseconds { 20 } });
    RawConnection peer(server.port());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    checkContains(peer.readAll(), "HTTP/1.1 408");
}

TEST(HttpServer, RefusesMalformedRequest)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send("hello there\r\n\r\n");
    checkContains(peer.readAll(), "malformed_request");
}

TEST(HttpServer, RefusesConnectionsBeyondItsLimit)
{
    ManualResponseServer server({ .maxConnections = 1 });
    RawConnection first(server.port());
    first.send(request);
    server.exchange(0);
    RawConnection second(server.port());
    const auto received = second.readAll();
    checkContains(received, "HTTP/1.1 503");
    checkContains(received, "Retry-After: 1");
}

TEST(HttpServer, ClosesARestingConnectionInFavourOfANewOne)
{
    ManualResponseServer server({ .maxConnections = 1 });
    RawConnection first(server.port());
    first.send(request);
    server.exchange(0)->respond({ 200, {}, "first" });
    first.readUntil("first");
    // The server has sent the response before it treats the connection as resting.
    std::this_thread::sleep_for(Milliseconds { 50 });
    RawConnection second(server.port());
    second.send(request);
    server.exchange(1)->respond({ 200, {}, "second" });
    checkContains(second.readUntil("second"), "second");
    first.readAll();
    LONGS_EQUAL(1, server.server().connectionCounts().displaced);
}

TEST(HttpServer, RefusesAnIncompleteHeaderInFavourOfANewConnection)
{
    ManualResponseServer server({ .maxConnections = 1 });
    RawConnection first(server.port());
    first.send("GET / HTTP/1.1\r\nX-Half: ");
    std::this_thread::sleep_for(Milliseconds { 50 });
    RawConnection second(server.port());
    second.send(request);
    server.exchange(0)->respond({ 200, {}, "second" });
    checkContains(second.readUntil("second"), "second");
    const auto received = first.readAll();
    checkContains(received, "HTTP/1.1 503");
    checkContains(received, "Lupinknot-Outcome: not-run");
}

// Guards against callers that hold all connections with bodies that they never complete.
TEST(HttpServer, RefusesAnIncompleteBodyInFavourOfANewConnection)
{
    ManualResponseServer server({ .maxConnections = 1 });
    RawConnection first(server.port());
    first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhalf");
    std::this_thread::sleep_for(Milliseconds { 50 });
    RawConnection second(server.port());
    second.send(request);
    server.exchange(0)->respond({ 200, {}, "second" });
    checkContains(second.readUntil("second"), "second");
    const auto received = first.readAll();
    checkContains(received, "HTTP/1.1 503");
    checkContains(received, "Lupinknot-Outcome: not-run");
}

// Guards against a process that spends its processor time on accepting connections that it has no descriptors for.
TEST(HttpServer, PausesWhenNoDescriptorIsLeft)
{
    constexpr std::uint64_t mostTries = 100;
    ManualResponseServer server;
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket peer(ioContext, boost::asio::ip::tcp::v4());
    const auto firstFree = ::dup(0);
    ::close(firstFree);
    rlimit usual {};
    ::getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit none { static_cast<rlim_t>(firstFree), usual.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &none);
    peer.connect({ boost::asio::ip::make_address("127.0.0.1"), server.port() });
    std::this_thread::sleep_for(Milliseconds { 300 });
    const auto tries = server.server().connectionCounts().notAccepted;
    ::setrlimit(RLIMIT_NOFILE, &usual);
    CHECK(tries > 0);
    CHECK(tries < mostTries);
    boost::asio::write(peer, boost::asio::buffer(request));
    server.exchange(0)->respond({ 200, {}, "served" });
}

TEST(HttpServer, NotifiesHandlerWhenWaitingPeerDisconnects)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send(request);
    server.exchange(0)->onPeerDisconnected([&server] { server.notePeerDisconnected(); });
    peer.close();
    server.waitForPeerDisconnect();
}

TEST(HttpServer, NotifiesHandlerWhenStreamReaderDisconnects)
{
    ManualResponseServer server;
    RawConnection peer(server.port());
    peer.send(request);
    const auto exchange = server.exchange(0);
    exchange->onPeerDisconnected([&server] { server.notePeerDisconnected(); });
    exchange->stream({ 200, {}, {} }, std::make_shared<EndlessSource>());
    peer.readUntil("xxx");
    peer.close();
    server.waitForPeerDisconnect();
}

// The server must stop pulling from the source while the peer does not read, and close the connection after the write
// timeout.
TEST(HttpServer, StopsPullingFromSourceWhenPeerDoesNotRead)
{
    constexpr std::size_t moreThanSocketBuffers = 64 * mebibyte;
    ManualResponseServer server({ .writeTimeout = Milliseconds { 100 } });
    RawConnection peer(server.port());
    peer.send(request);
    const auto source = std::make_shared<EndlessSource>();
    const auto exchange = server.exchange(0);
    exchange->onPeerDisconnected([&server] { server.notePeerDisconnected(); });
    exchange->stream({ 200, {}, {} }, source);
    server.waitForPeerDisconnect();
    CHECK_TEXT(source->produced < moreThanSocketBuffers,
        "expected no further pulls from the source while the peer does not read");
}

TEST(HttpServer, RefusesAddressThatIsNotAnIpAddress)
{
    boost::asio::io_context ioContext;
    HttpServer server(ioContext, { .address = "nowhere" }, {});
    STRCMP_EQUAL("the address nowhere is not an IP address", server.start().value_or("").c_str());
}
