#include "relay/EngineLoadProbe.h"
#include "PlatformCallProtocol.h"
#include "RelayHarness.h"
#include "relay/Placement.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EngineLoadProbe)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.loadProbeTimeout = Milliseconds { 2000 };
        relay->settings.minLoadProbeWait = Milliseconds { 20 };
        relay->useEngineService();
        relay->addRoute("stream", RequestKind::EventStream, 5);
    }

    void teardown() override { relay.reset(); }

    // Adds an engine that reports this load and serves streams of two events.
    ScriptedEndpoint& addEngine(const std::string& id, const std::string& report, const std::string& zone = "a")
    {
        auto& engine = relay->addEndpoint(id, zone);
        engine.onRequest([report](ScriptedConnection& client, const std::string& request) {
            if (request.find("/stream/") == std::string::npos) {
                client.answer(200, "", report);
                return;
            }
            client.beginStream(signedHead);
            client.sendEvent(1);
            client.sendEvent(2);
            client.endStream();
        });
        return engine;
    }

    static std::string load(int waiting, int generating)
    {
        std::string runs;
        for (int i = 0; i < generating; ++i)
            runs += std::string(i ? "," : "") + "[\"r\",5,1,5]";
        return R"({"waiting":)" + std::to_string(waiting) + R"(,"running":)" + std::to_string(generating)
            + R"(,"kv-used":0,"kv-total":55000,"runs":[)" + runs + "]}";
    }

    static bool hasServed(const ScriptedEndpoint& engine)
    {
        return std::any_of(engine.requests().begin(), engine.requests().end(),
            [](const std::string& request) { return request.find("/stream/") != std::string::npos; });
    }

    void callOnce()
    {
        relay->configure();
        relay->list();
        const auto caller = relay->call("/stream/1");
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        CHECK_TEXT(caller->isWhole, "the stream was not served");
    }
};

TEST(EngineLoadProbe, SendsThePromptToTheEngineWithTheLowestDelay)
{
    addEngine("e1", load(3, 0));
    auto& idle = addEngine("e2", load(0, 0));
    addEngine("e3", load(0, 6));
    callOnce();
    CHECK(hasServed(idle));
}

TEST(EngineLoadProbe, ASilentEngineIsNeitherAwaitedNorChosen)
{
    auto& silent = relay->addEndpoint("e1");
    addEngine("e2", load(2, 2));
    addEngine("e3", load(2, 2));
    callOnce();
    CHECK_FALSE(hasServed(silent));
}

TEST(EngineLoadProbe, SkipsAnEngineWithAnInvalidLoadReport)
{
    auto& invalid = addEngine("e1", R"({"waiting":-5,"running":0,"runs":[]})");
    auto& valid = addEngine("e2", load(4, 4));
    callOnce();
    CHECK_FALSE(hasServed(invalid));
    CHECK(hasServed(valid));
}

TEST(EngineLoadProbe, ChoosesAnEngineWithoutAnyValidReport)
{
    auto& first = addEngine("e1", "nonsense");
    auto& second = addEngine("e2", "nonsense");
    callOnce();
    CHECK(hasServed(first) || hasServed(second));
}

TEST(EngineLoadProbe, DoesNotProbeASingleEngine)
{
    auto& engine = addEngine("e1", load(0, 0));
    callOnce();
    LONGS_EQUAL(1, engine.requests().size());
}

// The engine that ran the earlier request has its prompt cached.
TEST(EngineLoadProbe, AReconnectingCallerIsServedWithoutAProbe)
{
    auto& first = addEngine("e1", load(0, 0));
    auto& second = addEngine("e2", load(0, 0));
    relay->configure();
    relay->list();
    const auto caller = relay->call("/stream/1", { { "Last-Event-Id", "0" } });
    CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

// Guards against an engine that gets no work because the late second answer to another request was taken for its
// report.
TEST(EngineLoadProbe, AnAnswerToAnotherRequestIsNoReport)
{
    auto& repeating = relay->addEndpoint("e1");
    repeating.onRequest([](ScriptedConnection& client, const std::string&) {
        client.answer(503, "X-Request-Id: r0\r\nX-Not-Executed: full\r\nRetry-After: 5\r\n", "");
    });
    auto& other = addEngine("e2", load(0, 0));
    callOnce();
    CHECK(hasServed(other));
    const auto engine = relay->daemon().directory().find("e1");
    CHECK_FALSE(engine->isInBackOff(relay->daemon().clock().now()));
    CHECK(engine->report() == nullptr);
}
