#include "relay/BufferedCall.h"
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(BufferedCall)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        // Disables hedging, unless a test enables it.
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
        relay->addRoute("again", RequestKind::Idempotent, 2);
    }

    void teardown() override { relay.reset(); }

    void ready()
    {
        relay->configure();
        relay->list();
    }

    void await(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no answer came");
    }

    static ScriptedConnection::OnRequest answers(int status, const std::string& body)
    {
        return
            [status, body](ScriptedConnection& asker, const std::string&) { asker.answer(status, signedHead, body); };
    }
};

TEST(BufferedCall, ForwardsAnAnswerUnchanged)
{
    relay->addEndpoint("e1").onRequest(answers(200, "hello"));
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
    STRCMP_EQUAL("hello", caller->body.c_str());
    STRCMP_EQUAL("s", caller->header("X-Response-Signature").c_str());
}

TEST(BufferedCall, ForwardsAnEndpointsErrorAnswer)
{
    relay->addEndpoint("e1").onRequest(answers(500, "oops"));
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(500, caller->head.status);
    STRCMP_EQUAL("oops", caller->body.c_str());
}

TEST(BufferedCall, NeverResendsANonIdempotentCallThatMayHaveRun)
{
    const auto reset = [](ScriptedConnection& asker, const std::string&) { asker.reset(); };
    auto& first = relay->addEndpoint("e1");
    auto& second = relay->addEndpoint("e2");
    first.onRequest(reset);
    second.onRequest(reset);
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL_TEXT(
        502, caller->head.status, "a call that may have run must get 502: 503 would state that it has not run");
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(BufferedCall, TriesAnotherEndpointWhenTheFirstRefusesTheConnection)
{
    auto& crashed = relay->addEndpoint("e1");
    relay->addEndpoint("e2", "b").onRequest(answers(200, "hello"));
    crashed.crash();
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
}

TEST(BufferedCall, RefusesAsNotRunWhenEveryEndpointRejectsTheCall)
{
    const auto rejects = [](ScriptedConnection& asker, const std::string&) {
        asker.answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
    };
    relay->addEndpoint("e1").onRequest(rejects);
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "120" } });
    await(caller);
    LONGS_EQUAL(503, caller->head.status);
    const auto retryDelay = std::stod(caller->header("Retry-After"));
    CHECK_TEXT(retryDelay > 0 && retryDelay <= 0.04, "the retry delay must be at most a third of the caller's time");
    STRCMP_EQUAL("not-run", caller->header("Lupinknot-Outcome").c_str());
}

TEST(BufferedCall, WaitsForCapacityWhenEveryEndpointRejectsTheCall)
{
    auto& full = relay->addEndpoint("e1");
    full.onRequest([&full](ScriptedConnection& asker, const std::string&) {
        if (full.requests().size() <= 2)
            asker.answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
        else
            asker.answer(200, signedHead, "hello");
    });
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    await(caller);
    LONGS_EQUAL_TEXT(200, caller->head.status, "the call must wait for capacity that becomes free in time");
    LONGS_EQUAL(3, full.requests().size());
}

TEST(BufferedCall, WaitsForAnEndpointWhenNoneIsKnown)
{
    relay->configure();
    relay->list();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    CHECK(relay->runUntil([&] { return relay->daemon().waitingCount() == 1; }));
    relay->addEndpoint("e1").onRequest(answers(200, "hello"));
    relay->list();
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
    LONGS_EQUAL(0, relay->daemon().waitingCount());
}

TEST(BufferedCall, RemovesAWaitingCallWhenItsCallerDisconnects)
{
    relay->configure();
    relay->list();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    CHECK(relay->runUntil([&] { return relay->daemon().waitingCount() == 1; }));
    caller->connection->close();
    CHECK(relay->runUntil([&] { return relay->daemon().waitingCount() == 0; }));
}

TEST(BufferedCall, DoesNotWaitWithACallThatMayHaveRun)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& asker, const std::string&) { asker.reset(); });
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    await(caller);
    LONGS_EQUAL(502, caller->head.status);
    LONGS_EQUAL(1, endpoint.requests().size());
}

TEST(BufferedCall, SendsAnIdempotentCallToAnotherEndpointAfterATruncatedAnswer)
{
    const auto breaksOff = [](ScriptedConnection& asker, const std::string&) {
        asker.send("HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 10\r\n\r\nhel");
        asker.reset();
    };
    relay->addEndpoint("e1").onRequest(breaksOff);
    relay->addEndpoint("e2", "b").onRequest(answers(200, "hello"));
    ready();
    const auto caller = relay->call("/again/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
    STRCMP_EQUAL("hello", caller->body.c_str());
}

TEST(BufferedCall, ForwardsTheFirstErrorWhenTheSecondEndpointFailsToo)
{
    relay->addEndpoint("e1").onRequest(answers(500, "oops"));
    relay->addEndpoint("e2", "b").onRequest([](ScriptedConnection& asker, const std::string&) { asker.reset(); });
    ready();
    const auto caller = relay->call("/again/1");
    await(caller);
    LONGS_EQUAL(500, caller->head.status);
}

TEST(BufferedCall, RejectsASuccessWithoutTheEndpointsSignature)
{
    relay->addEndpoint("e1").onRequest(
        [](ScriptedConnection& asker, const std::string&) { asker.answer(200, "X-Request-Id: r1\r\n", "hello"); });
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(502, caller->head.status);
}

TEST(BufferedCall, SkipsAnAnswerThatBelongsToAnotherRequest)
{
    relay->addEndpoint("e1").onRequest([](ScriptedConnection& asker, const std::string&) {
        asker.answer(200, "X-Request-Id: r0\r\nX-Response-Signature: s\r\n", "late");
        asker.answer(200, signedHead, "mine");
    });
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    STRCMP_EQUAL("mine", caller->body.c_str());
}

TEST(BufferedCall, NeverForwardsBytesThatFollowACompleteAnswer)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& asker, const std::string& request) {
        const bool isFirst = request.find("r1") != std::string::npos;
        asker.answer(
            200, isFirst ? signedHead : "X-Request-Id: r2\r\nX-Response-Signature: s\r\n", isFirst ? "one" : "two");
        if (isFirst)
            asker.answer(200, signedHead, "extra");
    });
    ready();
    const auto first = relay->call("/once/1");
    await(first);
    const auto second = relay->call("/once/1", {}, "r2");
    await(second);
    STRCMP_EQUAL("one", first->body.c_str());
    STRCMP_EQUAL("two", second->body.c_str());
    LONGS_EQUAL_TEXT(2, endpoint.connections().size(), "the connection with extra bytes must not carry another call");
}

TEST(BufferedCall, AcceptsAnAnswerWithoutALengthOnlyAfterAnOrderlyClose)
{
    relay->addEndpoint("e1").onRequest([](ScriptedConnection& asker, const std::string& request) {
        const bool isFirst = request.find("r1") != std::string::npos;
        asker.send("HTTP/1.1 200 OK\r\n" + signedHeadFor(request) + "\r\nhello");
        if (isFirst)
            asker.close();
        else
            asker.reset();
    });
    ready();
    const auto whole = relay->call("/once/1");
    await(whole);
    LONGS_EQUAL(200, whole->head.status);
    STRCMP_EQUAL("hello", whole->body.c_str());
    const auto broken = relay->call("/once/1", {}, "r2");
    await(broken);
    LONGS_EQUAL(502, broken->head.status);
}

TEST(BufferedCall, HedgesWhenTheFirstEndpointIsSlow)
{
    relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 5 };
    auto& slow = relay->addEndpoint("e1");
    relay->addEndpoint("e2", "b").onRequest(answers(200, "hello"));
    ready();
    const auto caller = relay->call("/again/1");
    await(caller);
    STRCMP_EQUAL("hello", caller->body.c_str());
    CHECK(relay->runUntil([&] { return slow.connections()[0]->isClosedByPeer(); }));
}

TEST(BufferedCall, ClosesTheEndpointsConnectionWhenTheCallerDisconnects)
{
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    const auto caller = relay->call("/once/1");
    CHECK(relay->runUntil([&] { return endpoint.requests().size() == 1; }));
    caller->connection->close();
    CHECK(relay->runUntil([&] { return endpoint.connections()[0]->isClosedByPeer(); }));
}

TEST(BufferedCall, ReportsAnUnknownOutcomeWhenTheDeadlinePasses)
{
    relay->addEndpoint("e1");
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "30" } });
    await(caller);
    LONGS_EQUAL(504, caller->head.status);
    STRCMP_EQUAL("unknown", caller->header("Lupinknot-Outcome").c_str());
}

TEST(BufferedCall, DoesNotSendAgainToAnEndpointThatWasReplaced)
{
    auto& old = relay->addEndpoint("e1");
    old.onRequest([](ScriptedConnection& asker, const std::string&) {
        asker.answer(421, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\nX-Instance-Id: other\r\n", "");
    });
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "120" } });
    await(caller);
    LONGS_EQUAL(503, caller->head.status);
    CHECK(relay->daemon().directory().find("e1")->isRemoved());
    LONGS_EQUAL_TEXT(1, old.requests().size(), "a waiting call must not be sent to it again");
}

TEST(BufferedCall, AppliesChangedSettingsToTheNextRequest)
{
    relay->settings.retryRatio = 0;
    relay->settings.retrySlack = 0;
    std::size_t requestCount = 0;
    const auto fail = [&requestCount](ScriptedConnection& asker, const std::string&) {
        ++requestCount;
        asker.answer(500, signedHead, "oops");
    };
    relay->addEndpoint("e1").onRequest(fail);
    relay->addEndpoint("e2").onRequest(fail);
    ready();
    await(relay->call("/again/1"));
    LONGS_EQUAL_TEXT(1, requestCount, "without a retry budget a failed call should not be sent again");
    auto changed = relay->settings;
    changed.retrySlack = 100;
    relay->daemon().changeSettings(changed);
    await(relay->call("/again/2"));
    LONGS_EQUAL_TEXT(3, requestCount, "the new budget should allow a second sending");
}

// Guards against charging the retry budget for connection failures. A VM in a zone that was cut off used up its retries
// on endpoints that it could not connect to, and then refused calls because its retry budget was empty.
TEST(BufferedCall, AFailedConnectionTakesNoRetry)
{
    relay->settings.retryRatio = 0;
    relay->settings.retrySlack = 0;
    auto& crashed = relay->addEndpoint("e1");
    relay->addEndpoint("e2").onRequest(answers(200, "hello"));
    ready();
    crashed.crash();
    // Whichever endpoint is chosen first, one of these calls is sent to the crashed one.
    for (int i = 0; i < 6; ++i) {
        const auto caller = relay->call("/once/1");
        await(caller);
        LONGS_EQUAL_TEXT(
            200, caller->head.status, "a call that was never sent should be sent elsewhere without a retry");
    }
}
