// Answers that arrive while their request is still being written, and how their connection ends then.
#include "CutAnswer.h"
#include "RelayHarness.h"

#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

enum class End {
    Reset,
    // The endpoint closes its socket, which holds unread bytes: the kernel resets the connection.
    Closed,
    // The endpoint ends its answer and reads nothing more.
    HalfClosed,
};

// Read with the head of its request.
constexpr std::size_t shortUpload = 4;
// More than the socket buffers hold, so that the write is still under way when the connection ends.
constexpr std::size_t longUpload = 12'000'000;
const std::size_t uploadSizes[] = { shortUpload, 3'000'000, longUpload };

struct EarlyAnswer {
    const char* name;
    std::string head;
    std::string body;
    End end;
    Milliseconds endsAfter;
    // Whether the caller may take it for the endpoint's whole answer.
    bool isWhole;

    // An endpoint that closes after it has read the whole request ends its answer.
    bool isWholeAfter(std::size_t uploadSize) const
    {
        return isWhole || (end == End::Closed && uploadSize == shortUpload);
    }
};

const std::string length = "Content-Length: 5\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

const EarlyAnswer earlyAnswers[] = {
    { "no length, reset at once", "\r\n", "whole", End::Reset, Milliseconds { 0 }, false },
    { "no length, reset after 50 ms", "\r\n", "whole", End::Reset, Milliseconds { 50 }, false },
    { "no length, reset after 300 ms", "\r\n", "whole", End::Reset, Milliseconds { 300 }, false },
    { "no length, no body, reset", "\r\n", "", End::Reset, Milliseconds { 50 }, false },
    { "no length, closed with unread bytes", "\r\n", "whole", End::Closed, Milliseconds { 50 }, false },
    { "no length, half-closed", "\r\n", "whole", End::HalfClosed, Milliseconds { 50 }, true },
    { "length, whole", length, "whole", End::Reset, Milliseconds { 50 }, true },
    { "length, cut", length, "who", End::Reset, Milliseconds { 50 }, false },
    { "length, cut, half-closed", length, "who", End::HalfClosed, Milliseconds { 50 }, false },
    { "chunks, whole", chunked, "5\r\nwhole\r\n0\r\n\r\n", End::Reset, Milliseconds { 50 }, true },
    { "chunks, cut", chunked, "5\r\nwhole\r\n", End::Reset, Milliseconds { 50 }, false },
    { "chunks, cut, half-closed", chunked, "5\r\nwhole\r\n", End::HalfClosed, Milliseconds { 50 }, false },
};

// Answers each connection as soon as its first bytes have arrived, and reads nothing more.
class EarlyEndpoint {
public:
    explicit EarlyEndpoint(boost::asio::io_context& ioContext)
        : m_ioContext(ioContext)
        , m_acceptor(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    std::int64_t port() const { return m_acceptor.local_endpoint().port(); }
    void setAnswer(const EarlyAnswer& answer) { m_answer = &answer; }
    unsigned connectionCount() const { return m_connectionCount; }

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 2048> bytes {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_connectionCount;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.async_read_some(boost::asio::buffer(connection->bytes),
                [this, connection](boost::system::error_code readError, std::size_t size) {
                    if (!readError)
                        answer(connection, std::string(connection->bytes.data(), size));
                });
            accept();
        });
    }

    void answer(const std::shared_ptr<Connection>& connection, const std::string& request)
    {
        // Probes are not answered.
        if (request.find("X-Request-Id: ") == std::string::npos)
            return;
        boost::system::error_code ignored;
        const auto text = okLine + signedHeadFor(request) + m_answer->head + m_answer->body;
        boost::asio::write(connection->socket, boost::asio::buffer(text), ignored);
        connection->timer.expires_after(m_answer->endsAfter);
        connection->timer.async_wait([this, connection, end = m_answer->end](boost::system::error_code) {
            boost::system::error_code endError;
            if (end == End::HalfClosed) {
                connection->socket.shutdown(boost::asio::socket_base::shutdown_send, endError);
                m_halfClosed.push_back(connection);
                return;
            }
            if (end == End::Reset)
                connection->socket.set_option(boost::asio::socket_base::linger(true, 0), endError);
            connection->socket.close(endError);
        });
    }

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const EarlyAnswer* m_answer { nullptr };
    unsigned m_connectionCount { 0 };
    std::vector<std::shared_ptr<Connection>> m_halfClosed;
};

std::string caseName(const EarlyAnswer& answer, const std::string& kind, std::size_t uploadSize)
{
    return std::string(answer.name) + ", " + kind + ", upload of " + std::to_string(uploadSize);
}

} // namespace

TEST_GROUP(EarlyAnswer)
{
    std::unique_ptr<RelayHarness> relay;
    std::unique_ptr<EarlyEndpoint> endpoint;
    unsigned requestCount { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->settings.retrySlack = 1e6;
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
        relay->addRoute("again", RequestKind::Idempotent, 1);
        relay->addRoute("stream", RequestKind::EventStream, 1);
        relay->allowBodies(2 * static_cast<std::int64_t>(longUpload));
        relay->configure();
        auto& daemon = relay->daemon();
        endpoint = std::make_unique<EarlyEndpoint>(daemon.ioContext());
        daemon.directory().replaceAll(
            { { "e1", "s", { "127.0.0.1", endpoint->port() }, "a", 4 } }, daemon.clock().now());
    }

    void teardown() override
    {
        endpoint.reset();
        relay.reset();
    }

    std::shared_ptr<TestCaller> send(std::int64_t port, const std::string& path, std::size_t uploadSize)
    {
        auto caller = std::make_shared<TestCaller>();
        caller->connection = ClientConnection::open(relay->daemon().ioContext(), { "127.0.0.1", port }, {});
        caller->connection->send(
            { "POST", path,
                { { "Host", "h" }, { "X-Request-Id", "r1" }, { "X-Deadline-Ms", "5000" }, { "Connection", "close" } },
                std::string(uploadSize, 'u') },
            caller);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller;
    }
};

// Guards against a part of an answer that is taken for whole: the pending write consumed the error of the reset, and
// the read that followed showed an orderly end. The same connections carry calls to the store, to other VMs and probes.
TEST(EarlyAnswer, IsNotWholeOnAConnectionThatIsResetDuringTheUpload)
{
    for (const auto& answer : earlyAnswers) {
        endpoint->setAnswer(answer);
        for (const auto size : uploadSizes) {
            const auto caller = send(endpoint->port(), "/x", size);
            CHECK_EQUAL_TEXT(answer.isWholeAfter(size), caller->isWhole, caseName(answer, "connection", size).c_str());
        }
    }
}

TEST(EarlyAnswer, IsNoAnswerOfTheRelayIfItsConnectionIsResetDuringTheUpload)
{
    for (const auto& answer : earlyAnswers) {
        endpoint->setAnswer(answer);
        for (const auto* const kind : { "once", "again" }) {
            const auto caller = send(relay->daemon().frontPort(),
                "/" + std::string(kind) + "/" + std::to_string(++requestCount), longUpload);
            const auto name = caseName(answer, kind, longUpload) + ": " + caller->body;
            CHECK_TEXT(caller->isWhole, name.c_str());
            LONGS_EQUAL_TEXT(answer.isWhole ? 200 : 502, caller->head.status, name.c_str());
            if (answer.isWhole)
                STRCMP_EQUAL_TEXT("whole", caller->body.c_str(), name.c_str());
        }
    }
}

// Guards against a stream that ends as complete after the event at which its engine reset the connection.
TEST(EarlyAnswer, IsNoWholeStreamIfItsConnectionIsResetDuringTheUpload)
{
    const std::string event = "id: 1\ndata: e1\n\n";
    for (const auto end : { End::Reset, End::Closed, End::HalfClosed }) {
        const EarlyAnswer answer { "stream", "Content-Type: text/event-stream\r\n\r\n", event, end, Milliseconds { 50 },
            end == End::HalfClosed };
        endpoint->setAnswer(answer);
        const auto path = "/stream/" + std::to_string(++requestCount);
        const auto caller = send(relay->daemon().frontPort(), path, longUpload);
        CHECK_EQUAL_TEXT(answer.isWhole, caller->isWhole, path.c_str());
        STRCMP_EQUAL_TEXT(event.c_str(), caller->body.c_str(), path.c_str());
    }
}
