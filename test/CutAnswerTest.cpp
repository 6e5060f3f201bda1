// Answers of endpoints that end early, at each of their bytes, by an orderly close and by a reset.
#include "CutAnswer.h"
#include "RelayHarness.h"
#include "http/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// Extensions, several pieces and a trailer.
const std::string chunkedBody = "2;a=b\r\nwh\r\n0003\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n";

const Framing framings[] = {
    { "length", okLine, "Content-Length: 5\r\n\r\n", "whole" },
    { "length first", okLine + "Content-Length: 5\r\n", "\r\n", "whole" },
    { "empty", okLine, "Content-Length: 0\r\n\r\n", "" },
    { "chunks", okLine, "Transfer-Encoding: chunked\r\n\r\n", chunkedBody },
    { "connection", okLine, "\r\n", "whole", true },
    { "connection, stated", okLine + "Connection: close\r\n", "\r\n", "whole", true },
    { "connection, HTTP/1.0", "HTTP/1.0 200 OK\r\n", "\r\n", "whole", true },
    { "interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okLine,
        "Content-Length: 5\r\n\r\n", "whole" },
    { "interim response, connection", "HTTP/1.1 100 Continue\r\n\r\n" + okLine, "\r\n", "whole", true },
    { "no content", "HTTP/1.1 204 No Content\r\n", "\r\n", "" },
    { "not modified", "HTTP/1.1 304 Not Modified\r\n", "Content-Length: 5\r\n\r\n", "" },
};

ScriptedConnection::OnRequest sendsWhole(const std::string& body)
{
    return [body](ScriptedConnection& connection, const std::string& request) {
        connection.answer(200, signedHeadFor(request), body);
    };
}

// A path through one VM.
class PathThroughVm final : public ConnectionPath {
public:
    explicit PathThroughVm(SocketAddress vm)
        : m_vm(std::move(vm))
    {
    }

    std::optional<ConnectionHop> next() override
    {
        return std::exchange(m_isUsed, true) ? std::nullopt
                                             : std::optional(ConnectionHop { m_vm, Milliseconds { 1000 } });
    }

    void noteResult(HopResult, Milliseconds) override { }

private:
    const SocketAddress m_vm;
    bool m_isUsed { false };
};

} // namespace

// Connections to endpoints, direct ones and those through another VM.
TEST_GROUP(CutAnswer)
{
    std::unique_ptr<RelayHarness> relay;
    std::unique_ptr<HttpServer> vm;
    ScriptedEndpoint* endpoint { nullptr };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
        endpoint = &relay->addEndpoint("e1");
        relay->configure();
        relay->list();
        auto& daemon = relay->daemon();
        vm = std::make_unique<HttpServer>(daemon.ioContext(), HttpServerSettings {},
            [&daemon](const std::shared_ptr<HttpExchange>& exchange) { daemon.tunnels().handle(exchange); });
        CHECK_FALSE(vm->start().has_value());
    }

    void teardown() override
    {
        vm.reset();
        relay.reset();
    }

    std::shared_ptr<ClientConnection> connect(bool isThroughVm)
    {
        std::unique_ptr<ConnectionPath> path;
        if (isThroughVm)
            path = std::make_unique<PathThroughVm>(SocketAddress { "127.0.0.1", vm->port() });
        return ClientConnection::open(
            relay->daemon().ioContext(), { "127.0.0.1", endpoint->port() }, {}, std::move(path));
    }

    std::shared_ptr<TestCaller> send(const std::shared_ptr<ClientConnection>& connection)
    {
        auto caller = std::make_shared<TestCaller>();
        caller->connection = connection;
        connection->send({ "POST", "/x", { { "Host", "h" }, { "X-Request-Id", "r1" } }, "body" }, caller);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller;
    }

    void checkCuts(bool isThroughVm, bool isKept)
    {
        for (const auto& framing : framings) {
            const auto text = framing.text(signedHead);
            for (const auto close : { Close::Orderly, Close::Reset }) {
                const auto minBytes = framing.minBytes(signedHead, close);
                for (std::size_t cut = 0; cut <= text.size(); ++cut) {
                    const auto connection = connect(isThroughVm);
                    if (isKept) {
                        endpoint->onRequest(sendsWhole("first"));
                        send(connection);
                        CHECK(connection->isIdle());
                    }
                    endpoint->onRequest(sendsAndEnds(text.substr(0, cut), close));
                    const auto caller = send(connection);
                    // Through another VM the end of a connection is no end of an answer.
                    const bool isWhole = cut >= minBytes && !(isThroughVm && framing.endsWithConnection);
                    CHECK_EQUAL_TEXT(isWhole, caller->isWhole, caseName(framing.name, close, cut).c_str());
                    CHECK_EQUAL_TEXT(!isWhole, caller->isBroken, caseName(framing.name, close, cut).c_str());
                }
            }
        }
    }
};

TEST(CutAnswer, IsNotCompleteOnANewConnection) { checkCuts(false, false); }

TEST(CutAnswer, IsNotCompleteOnAKeptConnection) { checkCuts(false, true); }

TEST(CutAnswer, IsNotCompleteThroughAnotherVm) { checkCuts(true, false); }

TEST(CutAnswer, IsNotCompleteOnAKeptConnectionThroughAnotherVm) { checkCuts(true, true); }
