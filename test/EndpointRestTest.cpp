// Requests reached endpoints that had asked this VM for rest (503 with Retry-After), or had said that they leave.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

std::string idOf(const std::string& request)
{
    const std::string name = "X-Request-Id: ";
    const auto begin = request.find(name) + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string signedHeadOf(const std::string& request)
{
    return "X-Request-Id: " + idOf(request) + "\r\nX-Response-Signature: s\r\n";
}

void answerWhole(ScriptedConnection& asker, const std::string& request)
{
    asker.answer(200, signedHeadOf(request), "ok");
}

void answerStream(ScriptedConnection& asker, const std::string& request)
{
    asker.beginStream(signedHeadOf(request));
    asker.sendEvent(1);
    asker.endStream();
}

ScriptedConnection::OnRequest rejectsWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& asker, const std::string& request) {
        asker.answer(503, "X-Request-Id: " + idOf(request) + "\r\nX-Not-Executed: shed\r\n" + headerLines, "");
    };
}

ScriptedConnection::OnRequest answersWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& asker, const std::string& request) {
        asker.answer(200, signedHeadOf(request) + headerLines, "ok");
    };
}

} // namespace

TEST_GROUP(EndpointRest)
{
    std::unique_ptr<RelayHarness> relay;
    int calls { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->addRoute("once", RequestKind::NonIdempotent, 2);
        relay->addRoute("again", RequestKind::Idempotent, 3);
        relay->addRoute("stream", RequestKind::EventStream, 5);
    }

    void teardown() override { relay.reset(); }

    void ready()
    {
        relay->configure();
        relay->list();
    }

    std::shared_ptr<TestCaller> callAndWait(const std::string& path)
    {
        const auto caller = relay->call(path, {}, "r" + std::to_string(++calls));
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no answer came");
        return caller;
    }

    // One call after the other, each 20 ms after the one before it.
    void callFor(const std::string& path, Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            const auto next = clock.now() + Milliseconds { 20 };
            LONGS_EQUAL(200, callAndWait(path)->head.status);
            relay->runUntil([&] { return clock.now() >= next; });
        }
    }

    // Calls until the endpoint has been reached once more.
    void callUntilReached(const std::string& path, const ScriptedEndpoint& endpoint)
    {
        const auto before = endpoint.requests().size();
        for (int i = 0; i < 100 && endpoint.requests().size() == before; ++i)
            callAndWait(path);
        CHECK_TEXT(endpoint.requests().size() > before, "the endpoint was not chosen in 100 calls");
    }

    // Calls for 800 ms after a rejection that asks for 1 s.
    void checkRest(const std::string& path, const ScriptedConnection::OnRequest& served)
    {
        auto& resting = relay->addEndpoint("e1");
        resting.onRequest(rejectsWith("Retry-After: 1\r\n"));
        relay->addEndpoint("e2").onRequest(served);
        ready();
        callUntilReached(path, resting);
        resting.forgetRequests();
        callFor(path, Milliseconds { 800 });
        LONGS_EQUAL_TEXT(0, resting.requests().size(), "requests to an endpoint that had asked for 1 s of rest");
    }
};

TEST(EndpointRest, GetsNoCallUntilRetryAfterHasPassed) { checkRest("/once/1", answerWhole); }

TEST(EndpointRest, GetsNoIdempotentCallUntilRetryAfterHasPassed) { checkRest("/again/1", answerWhole); }

TEST(EndpointRest, GetsNoStreamUntilRetryAfterHasPassed) { checkRest("/stream/1", answerStream); }

TEST(EndpointRest, GetsNoCallAfterItHasSaidThatItLeaves)
{
    auto& leaving = relay->addEndpoint("e1");
    leaving.onRequest(answersWith("Server-Leaving: 1\r\n"));
    relay->addEndpoint("e2").onRequest(answerWhole);
    ready();
    callUntilReached("/once/1", leaving);
    leaving.forgetRequests();
    callFor("/once/1", Milliseconds { 800 });
    LONGS_EQUAL_TEXT(0, leaving.requests().size(), "requests to an endpoint that had said that it leaves");
}
