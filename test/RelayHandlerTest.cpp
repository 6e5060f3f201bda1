#include "relay/RelayHandler.h"
#include "RelayHarness.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RelayHandler)
{
    std::unique_ptr<RelayHarness> relay;
    ScriptedEndpoint* endpoint { nullptr };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->addRoute("open", RequestKind::EventStream, 5);
        relay->addKeyedRoute("closed", "k1", "acme");
        endpoint = &relay->addEndpoint("e1");
        endpoint->onRequest(
            [](ScriptedConnection& asker, const std::string&) { asker.answer(404, signedHead, "passed on"); });
        relay->configure();
        relay->list();
    }

    void teardown() override { relay.reset(); }

    unsigned statusOf(const std::string& path, const HttpHeaders& extra = {}, const std::string& id = "r1")
    {
        const auto caller = relay->call(path, extra, id);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller->head.status;
    }

    // Sends bytes that no proper client would, and returns the first line of what comes back.
    std::string firstLineAfter(const std::string& bytes)
    {
        boost::asio::ip::tcp::socket socket(relay->daemon().ioContext());
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), relay->daemon().frontPort() });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        socket.non_blocking(true);
        std::string received;
        CHECK(relay->runUntil([&] {
            char piece[1024];
            boost::system::error_code error;
            received.append(piece, socket.read_some(boost::asio::buffer(piece), error));
            return received.find("\r\n") != std::string::npos;
        }));
        return received.substr(0, received.find("\r\n"));
    }

    void checkNothingReachedTheEndpoint() { LONGS_EQUAL(0, endpoint->requests().size()); }
};

TEST(RelayHandler, RefusesAnUnknownRouteOrHost)
{
    LONGS_EQUAL(404, statusOf("/nowhere/1"));
    checkNothingReachedTheEndpoint();
}

TEST(RelayHandler, RefusesAnUnknownKeyAndPassesAKnownOneOnAsItsOrganisation)
{
    LONGS_EQUAL(401, statusOf("/closed/1"));
    LONGS_EQUAL(401, statusOf("/closed/1", { { "Api-Key", "k2" } }));
    checkNothingReachedTheEndpoint();
    statusOf("/closed/1", { { "Api-Key", "k1" }, { "X-Tenant", "forged" } });
    CHECK(endpoint->hasReceived(0, "X-Tenant: acme\r\n"));
    CHECK_FALSE(endpoint->hasReceived(0, "k1"));
    CHECK_FALSE(endpoint->hasReceived(0, "forged"));
}

TEST(RelayHandler, RefusesFieldsThatCannotBeRead)
{
    LONGS_EQUAL(400, statusOf("/open/1", {}, ""));
    LONGS_EQUAL(400, statusOf("/open/1", { { "Last-Event-Id", "twelve" } }));
    LONGS_EQUAL(400, statusOf("/open/1", { { "X-Deadline-Ms", "-1" } }));
    checkNothingReachedTheEndpoint();
}

TEST(RelayHandler, NeverPassesAnAmbiguousRequestOn)
{
    const std::string start = "POST /open/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n";
    for (const auto& rest : { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", "Content-Length: -1\r\n\r\n",
             "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", "Bad Name: 1\r\n\r\n" })
        STRCMP_EQUAL_TEXT("HTTP/1.1 400 Bad Request", firstLineAfter(start + rest).c_str(), rest);
    checkNothingReachedTheEndpoint();
}

TEST(RelayHandler, RefusesAHeadOrABodyThatIsTooLarge)
{
    const std::string start = "POST /open/1 HTTP/1.1\r\nHost: h\r\n";
    STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large",
        firstLineAfter(start + "X-Long: " + std::string(20000, 'x') + "\r\n\r\n").c_str());
    STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large", firstLineAfter(start + "Content-Length: 99999999\r\n\r\n").c_str());
    checkNothingReachedTheEndpoint();
}

TEST(RelayHandler, SaysThatItKnowsNoConfigurationYet)
{
    RelayHarness fresh;
    const auto caller = fresh.call("/open/1");
    CHECK(fresh.runUntil([&] { return caller->isWhole; }));
    LONGS_EQUAL_TEXT(503, caller->head.status, "a VM that knows no route must not say that there is none");
}

TEST(RelayHandler, ServesARequestThatCameBeforeTheConfigurationAndTheEndpoints)
{
    RelayHarness fresh;
    fresh.addRoute("open", RequestKind::NonIdempotent, 1);
    fresh.addEndpoint("e1").onRequest(
        [](ScriptedConnection& asker, const std::string&) { asker.answer(200, signedHead, "hello"); });
    const auto caller = fresh.call("/open/1");
    CHECK(fresh.runUntil([&] { return fresh.daemon().waitingCount() == 1; }));
    fresh.configure();
    LONGS_EQUAL_TEXT(1, fresh.daemon().waitingCount(), "without endpoints it waits on");
    fresh.list();
    CHECK(fresh.runUntil([&] { return caller->isWhole; }));
    LONGS_EQUAL_TEXT(200, caller->head.status, "the configuration came some milliseconds after the request");
    LONGS_EQUAL(0, fresh.daemon().waitingCount());
}

TEST(RelayHandler, ACallerThatLeavesBeforeTheConfigurationWaitsNoMore)
{
    RelayHarness fresh;
    const auto caller = fresh.call("/open/1");
    CHECK(fresh.runUntil([&] { return fresh.daemon().waitingCount() == 1; }));
    caller->connection->close();
    CHECK(fresh.runUntil([&] { return fresh.daemon().waitingCount() == 0; }));
}

TEST(RelayHandler, AConfigurationNeverGoesBack)
{
    RelayConfigurationBuilder older;
    CHECK_FALSE(relay->daemon().applyConfiguration(older.version(0).build()));
    LONGS_EQUAL(1, relay->daemon().configuration()->version());
}
