#include "ReservedPort.h"
#include "http/HttpServer.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <set>

using namespace lupinknot;
using namespace lupinknot::internal;
using boost::asio::ip::tcp;

TEST_GROUP(ReservedPort) { boost::asio::io_context ioContext; };

// Guards against test fleets that do not start because another socket has taken a port that was free when they chose
// it.
TEST(ReservedPort, IsNotGivenToOtherSockets)
{
    constexpr std::size_t portCount = 200;
    constexpr int otherSockets = 3000;
    std::deque<ReservedPort> reserved;
    std::set<unsigned short> numbers;
    for (std::size_t i = 0; i < portCount; ++i)
        numbers.insert(reserved.emplace_back(ioContext).number());
    LONGS_EQUAL(portCount, numbers.size());
    std::size_t givenAgain = 0;
    for (int i = 0; i < otherSockets; ++i) {
        const tcp::acceptor other(ioContext, { boost::asio::ip::address_v4::loopback(), 0 }, false);
        givenAgain += numbers.count(other.local_endpoint().port());
    }
    LONGS_EQUAL(0, givenAgain);
}

TEST(ReservedPort, CanBeListenedOnSeveralTimes)
{
    const ReservedPort port(ioContext);
    for (int i = 0; i < 2; ++i) {
        HttpServer server(ioContext, listenAt({ "127.0.0.1", port.number() }), [](const auto&) {});
        const auto problem = server.start();
        CHECK_FALSE_TEXT(problem.has_value(), problem.value_or("").c_str());
        LONGS_EQUAL(port.number(), server.port());
        server.stopAccepting();
        ioContext.restart();
        ioContext.poll();
    }
}
