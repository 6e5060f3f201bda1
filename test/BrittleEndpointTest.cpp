// An endpoint that states how many requests it may turn away in a second fails if it has to turn away more.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(BrittleEndpoint)
{
    std::unique_ptr<RelayHarness> relay;
    std::vector<Milliseconds> rejectedAt;
    std::vector<std::shared_ptr<TestCaller>> callers;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->addRoute("once", RequestKind::NonIdempotent, 2);
    }

    void teardown() override
    {
        callers.clear();
        relay.reset();
    }

    void callFor(Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            const auto id = "r" + std::to_string(callers.size());
            callers.push_back(relay->call("/once/1", { { "X-Deadline-Ms", "1500" } }, id));
            const auto next = clock.now() + Milliseconds { 40 };
            relay->runUntil([&] { return clock.now() >= next; });
        }
    }

    std::size_t mostRejectedInASecond() const
    {
        std::size_t most = 0;
        for (std::size_t i = 0; i < rejectedAt.size(); ++i) {
            std::size_t count = 0;
            while (i + count < rejectedAt.size() && rejectedAt[i + count] < rejectedAt[i] + Milliseconds { 1000 })
                ++count;
            most = std::max(most, count);
        }
        return most;
    }

    ScriptedConnection::OnRequest rejects(const std::string& headers)
    {
        return [this, headers](ScriptedConnection& connection, const std::string& request) {
            const auto begin = request.find("X-Request-Id: ");
            const auto idLine = request.substr(begin, request.find("\r\n", begin) + 2 - begin);
            rejectedAt.push_back(relay->daemon().clock().now());
            connection.answer(503, idLine + "X-Not-Executed: full\r\n" + headers, "");
        };
    }
};

TEST(BrittleEndpoint, IsNotMadeToTurnAwayMoreThanItTolerates)
{
    relay->addEndpoint("e1").onRequest(rejects("Server-Brittle: 2\r\n"));
    relay->configure();
    relay->list();
    callFor(Milliseconds { 2500 });
    const auto most = mostRejectedInASecond();
    CHECK_TEXT(most <= 2, std::to_string(most).c_str());
}

TEST(BrittleEndpoint, LeavesTheWorkToEndpointsWithRoom)
{
    relay->addEndpoint("e1").onRequest(rejects("Server-Brittle: 2\r\n"));
    relay->addEndpoint("e2").onRequest([](ScriptedConnection& connection, const std::string& request) {
        const auto begin = request.find("X-Request-Id: ");
        const auto idLine = request.substr(begin, request.find("\r\n", begin) + 2 - begin);
        connection.answer(200, idLine + "X-Response-Signature: s\r\n", "ok");
    });
    relay->configure();
    relay->list();
    callFor(Milliseconds { 1500 });
    relay->runUntil([&] {
        return std::all_of(
            callers.begin(), callers.end(), [](const auto& caller) { return caller->isWhole || caller->isBroken; });
    });
    CHECK(mostRejectedInASecond() <= 2);
    for (const auto& caller : callers)
        LONGS_EQUAL(200, caller->head.status);
}
