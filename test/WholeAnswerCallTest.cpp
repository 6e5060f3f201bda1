#include "RelayHarness.h"
#include "relay/BufferedCall.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(BufferedCall)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        // No second sending to a slow endpoint, unless a test wants it.
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

TEST(BufferedCall, PassesAnAnswerOnUnchanged)
{
    relay->addEndpoint("e1").onRequest(answers(200, "hello"));
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
    STRCMP_EQUAL("hello", caller->body.c_str());
    STRCMP_EQUAL("s", caller->header("X-Response-Signature").c_str());
}

TEST(BufferedCall, PassesAnEndpointsOwnErrorOn)
{
    relay->addEndpoint("e1").onRequest(answers(500, "oops"));
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(500, caller->head.status);
    STRCMP_EQUAL("oops", caller->body.c_str());
}

TEST(BufferedCall, NeverSendsACallAgainThatMayHaveRun)
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
        502, caller->head.status, "a call that may have run is no refusal: 503 would promise that it has not");
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(BufferedCall, GoesOnElsewhereWhenTheFirstEndpointTookNoConnection)
{
    auto& dead = relay->addEndpoint("e1");
    relay->addEndpoint("e2", "b").onRequest(answers(200, "hello"));
    dead.crash();
    ready();
    const auto caller = relay->call("/once/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
}

TEST(BufferedCall, RefusesAsNotRunWhenEveryEndpointTurnedItAway)
{
    const auto sheds = [](ScriptedConnection& asker, const std::string&) {
        asker.answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
    };
    relay->addEndpoint("e1").onRequest(sheds);
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "120" } });
    await(caller);
    LONGS_EQUAL(503, caller->head.status);
    const auto comeBack = std::stod(caller->header("Retry-After"));
    CHECK_TEXT(comeBack > 0 && comeBack <= 0.04, "a third of its time is the most that a caller can wait");
    STRCMP_EQUAL("not-run", caller->header("Lupinknot-Outcome").c_str());
}

TEST(BufferedCall, WaitsForAPlaceWhenEveryEndpointTurnsItAway)
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
    LONGS_EQUAL_TEXT(200, caller->head.status, "a place that comes free in time is worth the wait");
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

TEST(BufferedCall, ACallerThatLeavesWaitsNoMore)
{
    relay->configure();
    relay->list();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    CHECK(relay->runUntil([&] { return relay->daemon().waitingCount() == 1; }));
    caller->connection->close();
    CHECK(relay->runUntil([&] { return relay->daemon().waitingCount() == 0; }));
}

TEST(BufferedCall, NeverWaitsWithACallThatMayHaveRun)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& asker, const std::string&) { asker.reset(); });
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    await(caller);
    LONGS_EQUAL(502, caller->head.status);
    LONGS_EQUAL(1, endpoint.requests().size());
}

TEST(BufferedCall, SendsAnIdempotentCallElsewhereAfterABrokenAnswer)
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

TEST(BufferedCall, PassesTheFirstErrorOnWhenTheSecondEndpointFailsToo)
{
    relay->addEndpoint("e1").onRequest(answers(500, "oops"));
    relay->addEndpoint("e2", "b").onRequest([](ScriptedConnection& asker, const std::string&) { asker.reset(); });
    ready();
    const auto caller = relay->call("/again/1");
    await(caller);
    LONGS_EQUAL(500, caller->head.status);
}

TEST(BufferedCall, TakesNoSuccessWithoutTheEndpointsSignature)
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

TEST(BufferedCall, GivesNobodyBytesThatFollowAWholeAnswer)
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

TEST(BufferedCall, TakesAnAnswerWithoutALengthOnlyWhenItsConnectionClosesOrderly)
{
    relay->addEndpoint("e1").onRequest([](ScriptedConnection& asker, const std::string& request) {
        const bool isFirst = request.find("r1") != std::string::npos;
        asker.send("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\nhello");
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

TEST(BufferedCall, AsksASecondEndpointWhenTheFirstIsSlow)
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

TEST(BufferedCall, StopsTheEndpointsWorkWhenTheCallerLeaves)
{
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    const auto caller = relay->call("/once/1");
    CHECK(relay->runUntil([&] { return endpoint.requests().size() == 1; }));
    caller->connection->close();
    CHECK(relay->runUntil([&] { return endpoint.connections()[0]->isClosedByPeer(); }));
}

TEST(BufferedCall, AnswersAtTheRoutesTimeoutWithoutAPromise)
{
    relay->addEndpoint("e1");
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "30" } });
    await(caller);
    LONGS_EQUAL(504, caller->head.status);
    STRCMP_EQUAL("unknown", caller->header("Lupinknot-Outcome").c_str());
}

TEST(BufferedCall, AnEndpointThatHasBeenReplacedIsAskedNoMore)
{
    auto& old = relay->addEndpoint("e1");
    old.onRequest(
        [](ScriptedConnection& asker, const std::string&) { asker.answer(421, "X-Instance-Id: other\r\n", ""); });
    ready();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "120" } });
    await(caller);
    LONGS_EQUAL(503, caller->head.status);
    CHECK(relay->daemon().directory().find("e1")->isRemoved());
    LONGS_EQUAL_TEXT(1, old.requests().size(), "a call that waits for a place must not ask it again");
}

TEST(BufferedCall, SettingsThatChangeHoldForTheNextRequest)
{
    relay->settings.retryRatio = 0;
    relay->settings.retrySlack = 0;
    std::size_t sendings = 0;
    const auto fail = [&sendings](ScriptedConnection& asker, const std::string&) {
        ++sendings;
        asker.answer(500, signedHead, "oops");
    };
    relay->addEndpoint("e1").onRequest(fail);
    relay->addEndpoint("e2").onRequest(fail);
    ready();
    await(relay->call("/again/1"));
    LONGS_EQUAL_TEXT(1, sendings, "without a retry budget a failed call should not be sent again");
    auto changed = relay->settings;
    changed.retrySlack = 100;
    relay->daemon().changeSettings(changed);
    await(relay->call("/again/2"));
    LONGS_EQUAL_TEXT(3, sendings, "the new budget should allow a second sending");
}

// Found by incident inc-dfd8 of savinja-knot: a VM of a zone that was cut off spent its retries on endpoints that it
// could not connect to, and then refused calls for want of retries.
TEST(BufferedCall, AnAttemptThatReachedNoEndpointCostsNoRetry)
{
    relay->settings.retryRatio = 0;
    relay->settings.retrySlack = 0;
    auto& dead = relay->addEndpoint("e1");
    relay->addEndpoint("e2").onRequest(answers(200, "hello"));
    ready();
    dead.crash();
    // Whichever endpoint comes first, one of these calls meets the dead one.
    for (int i = 0; i < 6; ++i) {
        const auto caller = relay->call("/once/1");
        await(caller);
        LONGS_EQUAL_TEXT(200, caller->head.status, "a call that was never sent should go on without a retry");
    }
}
