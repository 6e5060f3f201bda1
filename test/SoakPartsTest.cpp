#include "LoopbackProxy.h"
#include "RawConnection.h"
#include "ReservedPort.h"
#include "RunUntil.h"
#include "ScriptedEndpoint.h"
#include "SoakWorld.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::soak;

TEST_GROUP(DisturbanceLog) {};

TEST(DisturbanceLog, AnOpenDisturbanceOverlapsAnyLaterPeriod)
{
    DisturbanceLog log;
    log.begin(Milliseconds { 100 });
    CHECK(log.overlaps(Milliseconds { 500 }, Milliseconds { 600 }));
    CHECK_FALSE(log.overlaps(Milliseconds { 10 }, Milliseconds { 99 }));
}

TEST(DisturbanceLog, AnEndedDisturbanceOverlapsNoLaterPeriod)
{
    DisturbanceLog log;
    log.begin(Milliseconds { 100 });
    log.end(Milliseconds { 200 });
    CHECK(log.overlaps(Milliseconds { 150 }, Milliseconds { 900 }));
    CHECK_FALSE(log.overlaps(Milliseconds { 201 }, Milliseconds { 900 }));
}

TEST_GROUP(LoopbackProxy)
{
    boost::asio::io_context ioContext;

    // What the caller behind the proxy has received once the endpoint has responded to its request, or after at most
    // 200 polls of the io_context.
    std::string responseThrough(LinkMode mode)
    {
        ScriptedEndpoint endpoint(ioContext);
        endpoint.onRequest([](ScriptedConnection& asker, const std::string&) { asker.answer(200, "", "whole"); });
        boost::asio::ip::tcp::acceptor reserved(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        const SocketAddress own { "127.0.0.1", reserved.local_endpoint().port() };
        reserved.close();
        LoopbackProxy proxy(ioContext, own, { "127.0.0.1", endpoint.port() });
        proxy.setMode(mode);
        boost::asio::ip::tcp::socket socket(ioContext);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(own.port) });
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        std::string received;
        char piece[512];
        socket.async_read_some(boost::asio::buffer(piece),
            [&](boost::system::error_code, std::size_t size) { received.assign(piece, size); });
        constexpr int mostTurns = 200;
        for (int turn = 0; turn < mostTurns && received.empty(); ++turn) {
            ioContext.run_one_for(std::chrono::milliseconds(2));
            ioContext.restart();
        }
        requests = endpoint.requests().size();
        socket.cancel();
        proxy.resetConnections();
        ioContext.poll();
        ioContext.restart();
        return received;
    }

    std::size_t requests { 0 };
};

TEST(LoopbackProxy, ForwardsBothDirections)
{
    STRCMP_CONTAINS("whole", responseThrough(LinkMode::Pass).c_str());
    LONGS_EQUAL(1, requests);
}

TEST(LoopbackProxy, DropFromTargetLosesOnlyTheResponse)
{
    STRCMP_EQUAL("", responseThrough(LinkMode::DropFromTarget).c_str());
    LONGS_EQUAL(1, requests);
}

TEST(LoopbackProxy, DropToTargetLosesTheRequest)
{
    STRCMP_EQUAL("", responseThrough(LinkMode::DropToTarget).c_str());
    LONGS_EQUAL(0, requests);
}

// A proxy that does not repeat an answer would let the soak pass without having tested anything.
TEST(LoopbackProxy, RepeatsTheLastAnswerBeforeTheNextRequest)
{
    ScriptedEndpoint endpoint(ioContext);
    endpoint.onRequest([](ScriptedConnection& caller, const std::string& request) {
        caller.answer(200, "X-Request-Id: r\r\n", request.substr(0, request.find(' ')));
    });
    const ReservedPort own(ioContext);
    LoopbackProxy proxy(ioContext, { "127.0.0.1", own.number() }, { "127.0.0.1", endpoint.port() });
    proxy.setMode(LinkMode::RepeatAnswers);
    boost::asio::ip::tcp::socket socket(ioContext);
    socket.connect({ boost::asio::ip::address_v4::loopback(), own.number() });
    std::string received;
    for (const std::string method : { "ONE", "TWO", "THREE" }) {
        boost::asio::write(socket, boost::asio::buffer(method + " / HTTP/1.1\r\n\r\n"));
        const auto isAnswered = [&] {
            char piece[512];
            boost::system::error_code error;
            socket.non_blocking(true);
            received.append(piece, socket.read_some(boost::asio::buffer(piece), error));
            return received.size() >= method.size() && received.substr(received.size() - method.size()) == method;
        };
        CHECK(runUntil(ioContext, isAnswered));
    }
    const auto count = [&received](const std::string& text) {
        std::size_t found = 0;
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1))
            ++found;
        return found;
    };
    LONGS_EQUAL(2, count("ONE"));
    LONGS_EQUAL(2, count("TWO"));
    LONGS_EQUAL(1, count("THREE"));
    LONGS_EQUAL_TEXT(4, count("X-Request-Id: r"), "the second repetition names no request");
    socket.close();
    proxy.resetConnections();
    ioContext.poll();
}
