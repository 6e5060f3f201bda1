// Endpoints that send nothing for a second and then go on.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds silence { 1200 };

} // namespace

TEST_GROUP(SilentEndpoint)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
    }

    void teardown() override { relay.reset(); }

    void wait(Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        const auto end = clock.now() + time;
        relay->runUntil([&] { return clock.now() >= end; });
    }

    void checkIsNotPartitioned()
    {
        const auto metrics = relay->daemon().metrics().exposition();
        CHECK(metrics.find("lupinknot_relay_partitioned_from_endpoints 0") != std::string::npos);
    }
};

TEST(SilentEndpoint, AnswersACallThatMustNotRunTwice)
{
    auto& endpoint = relay->addEndpoint("e1");
    relay->configure();
    relay->list();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "3000" } });
    wait(silence);
    CHECK_FALSE(caller->isWhole || caller->isBroken);
    checkIsNotPartitioned();
    endpoint.connections().front()->answer(200, signedHead, "late");
    CHECK(relay->runUntil([&] { return caller->isWhole; }));
    STRCMP_EQUAL("late", caller->body.c_str());
}

// The same on kept connections, which may also hang because of a partition.
TEST(SilentEndpoint, AnswersACallOnAKeptConnection)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& connection, const std::string& request) {
        if (request.find("/once/first") != std::string::npos)
            connection.answer(200, signedHead, "ok");
    });
    relay->configure();
    relay->list();
    const auto first = relay->call("/once/first");
    CHECK(relay->runUntil([&] { return first->isWhole; }));
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "3000" } });
    wait(silence);
    CHECK_FALSE(caller->isWhole || caller->isBroken);
    checkIsNotPartitioned();
    endpoint.connections().front()->answer(200, signedHead, "late");
    CHECK(relay->runUntil([&] { return caller->isWhole; }));
    STRCMP_EQUAL("late", caller->body.c_str());
}
