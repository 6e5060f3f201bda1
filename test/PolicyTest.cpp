#include "relay/Policy.h"
#include "RelayHarness.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Policy)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override { relay = std::make_unique<RelayHarness>(); }
    void teardown() override { relay.reset(); }

    std::shared_ptr<TestCaller> callOnce(const std::string& path, const HttpHeaders& extra = {})
    {
        relay->configure();
        relay->list();
        auto caller = relay->call(path, extra);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller;
    }

    static ScriptedConnection::OnRequest streams()
    {
        return [](ScriptedConnection& client, const std::string&) {
            client.beginStream(signedHead);
            client.sendEvent(1);
            client.endStream();
        };
    }
};

TEST(Policy, EachHasAUniqueNameAndIsOnByDefault)
{
    std::set<std::string_view> names;
    const PolicySet policies;
    for (const auto& row : policyNames) {
        names.insert(row.name);
        CHECK(policies.has(row.value));
        CHECK(valueIn(policyNames, row.name) == row.value);
    }
    LONGS_EQUAL(policyNames.size(), names.size());
}

TEST(Policy, SwitchingOneOffLeavesTheOthersOn)
{
    PolicySet policies;
    policies.switchOff(Policy::LoadSurvey);
    for (const auto& row : policyNames)
        CHECK(policies.has(row.value) == (row.value != Policy::LoadSurvey));
}

TEST(Policy, WithoutLoadSurveyNoEngineIsProbed)
{
    relay->settings.policies.switchOff(Policy::LoadSurvey);
    relay->useEngineService();
    relay->addRoute("stream", RequestKind::EventStream, 5);
    auto& first = relay->addEndpoint("e1");
    auto& second = relay->addEndpoint("e2");
    first.onRequest(streams());
    second.onRequest(streams());
    CHECK(callOnce("/stream/1")->isWhole);
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(Policy, WithoutGrowingCopiesNoEngineIsRequestedToCopy)
{
    relay->settings.policies.switchOff(Policy::GrowingCopies);
    relay->addRoute("stream", RequestKind::EventStream, 5);
    auto& engine = relay->addEndpoint("e1", "a");
    engine.onRequest(streams());
    relay->addEndpoint("e2", "b").onRequest(streams());
    CHECK(callOnce("/stream/1")->isWhole);
    CHECK_FALSE(engine.hasReceived(0, "X-Kv-Backup"));
}

TEST(Policy, WithoutTimeCheckARequestThatCannotEndInTimeIsSent)
{
    relay->settings.policies.switchOff(Policy::TimeCheck);
    relay->addRoute("stream", RequestKind::EventStream, 5);
    relay->addEndpoint("e1").onRequest(streams());
    CHECK(callOnce("/stream/1", { { "X-Deadline-Ms", "1000" }, { "X-Token-Usage", "9000,10" } })->isWhole);
}

TEST(Policy, WithoutSecondSendingsASlowCallIsSentOnce)
{
    relay->settings.policies.switchOff(Policy::SecondSendings);
    relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 1 };
    relay->settings.retrySlackShare = 1;
    relay->addRoute("call", RequestKind::Idempotent, 2);
    const auto slow = [this](ScriptedConnection& client, const std::string&) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(relay->daemon().ioContext());
        timer->expires_after(Milliseconds { 60 });
        timer->async_wait([timer, connection = client.shared_from_this()](
                              boost::system::error_code) { connection->answer(200, signedHead, "x"); });
    };
    auto& first = relay->addEndpoint("e1");
    auto& second = relay->addEndpoint("e2");
    first.onRequest(slow);
    second.onRequest(slow);
    LONGS_EQUAL(200, callOnce("/call/1")->head.status);
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}
