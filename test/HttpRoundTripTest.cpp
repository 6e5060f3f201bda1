#include "http/HttpRoundTrip.h"
#include "RunUntil.h"
#include "http/ClientConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(HttpRoundTrip) {};

// Guards against a peer that is taken for ended because it has reset one new connection.
TEST(HttpRoundTrip, AConnectionThatIsResetAtOnceWasNotRefused)
{
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor acceptor(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    std::optional<HttpRoundTripResult> result;
    const auto roundTrip = HttpRoundTrip::ask(ioContext, ClientConnection::open(ioContext, { "127.0.0.1", port }, {}),
        request, Milliseconds { 1000 }, [&result](const HttpRoundTripResult& outcome) { result = outcome; });
    // The reset arrives before the event loop learns that the connection was established.
    auto socket = acceptor.accept();
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    CHECK(runUntil(ioContext, [&result] { return result.has_value(); }));
    CHECK(result->wasResetOnConnect);
    CHECK_FALSE(result->isConnected);
}

TEST(HttpRoundTrip, AConnectionToAPortWithoutProcessIsRefused)
{
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor acceptor(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    acceptor.close();
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    std::optional<HttpRoundTripResult> result;
    const auto roundTrip = HttpRoundTrip::ask(ioContext, ClientConnection::open(ioContext, { "127.0.0.1", port }, {}),
        request, Milliseconds { 1000 }, [&result](const HttpRoundTripResult& outcome) { result = outcome; });
    CHECK(runUntil(ioContext, [&result] { return result.has_value(); }));
    CHECK_FALSE(result->wasResetOnConnect);
    CHECK(result->isBroken);
}
