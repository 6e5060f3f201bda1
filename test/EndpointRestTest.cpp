// Guards against requests to endpoints that have requested a back-off of this VM (503 with Retry-After) or have
// announced that they are shutting down.
#include "RelayHarness.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// The line that names the request in its answer; empty for requests without an id, such as load queries.
std::string idLineOf(const std::string& request)
{
    const auto begin = request.find("X-Request-Id: ");
    return begin == std::string::npos ? "" : request.substr(begin, request.find("\r\n", begin) + 2 - begin);
}

std::string signedHeadOf(const std::string& request) { return idLineOf(request) + "X-Response-Signature: s\r\n"; }

void answerWhole(ScriptedConnection& connection, const std::string& request)
{
    connection.answer(200, signedHeadOf(request), "ok");
}

void answerStream(ScriptedConnection& connection, const std::string& request)
{
    connection.beginStream(signedHeadOf(request));
    connection.sendEvent(1);
    connection.endStream();
}

ScriptedConnection::OnRequest rejectsWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& connection, const std::string& request) {
        connection.answer(503, idLineOf(request) + "X-Not-Executed: shed\r\n" + headerLines, "");
    };
}

ScriptedConnection::OnRequest answersWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& connection, const std::string& request) {
        connection.answer(200, signedHeadOf(request) + headerLines, "ok");
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
        auto caller = relay->call(path, {}, "r" + std::to_string(++calls));
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no answer came");
        return caller;
    }

    // Sends calls one after the other, at least 20 ms apart.
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

    // Sends calls until the endpoint has received one more request.
    void callUntilReached(const std::string& path, const ScriptedEndpoint& endpoint)
    {
        const auto before = endpoint.requests().size();
        for (int i = 0; i < 100 && endpoint.requests().size() == before; ++i)
            callAndWait(path);
        CHECK_TEXT(endpoint.requests().size() > before, "the endpoint was not chosen in 100 calls");
    }

    // Sends calls for 800 ms after a rejection that requests a back-off of 1 s.
    void checkBackOff(const std::string& path, const ScriptedConnection::OnRequest& served)
    {
        auto& backingOff = relay->addEndpoint("e1");
        backingOff.onRequest(rejectsWith("Retry-After: 1\r\n"));
        relay->addEndpoint("e2").onRequest(served);
        ready();
        callUntilReached(path, backingOff);
        backingOff.forgetRequests();
        callFor(path, Milliseconds { 800 });
        LONGS_EQUAL_TEXT(
            0, backingOff.requests().size(), "requests to an endpoint that had asked for a back-off of 1 s");
    }
};

TEST(EndpointRest, GetsNoCallBeforeRetryAfterHasPassed) { checkBackOff("/once/1", answerWhole); }

TEST(EndpointRest, GetsNoIdempotentCallBeforeRetryAfterHasPassed) { checkBackOff("/again/1", answerWhole); }

TEST(EndpointRest, GetsNoStreamBeforeRetryAfterHasPassed) { checkBackOff("/stream/1", answerStream); }

TEST(EndpointRest, GetsNoCallAfterAnnouncingItsShutdown)
{
    auto& shuttingDown = relay->addEndpoint("e1");
    shuttingDown.onRequest(answersWith("Server-Leaving: 1\r\n"));
    relay->addEndpoint("e2").onRequest(answerWhole);
    ready();
    callUntilReached("/once/1", shuttingDown);
    shuttingDown.forgetRequests();
    callFor("/once/1", Milliseconds { 800 });
    LONGS_EQUAL_TEXT(0, shuttingDown.requests().size(), "requests to an endpoint that had announced its shutdown");
}

TEST(EndpointRest, CallersAreRefusedAtOnceWithTheEarliestRetryTimeWhenAllEndpointsBackOff)
{
    auto& first = relay->addEndpoint("e1");
    first.onRequest(rejectsWith("Retry-After: 3\r\n"));
    auto& second = relay->addEndpoint("e2");
    second.onRequest(rejectsWith("Retry-After: 4\r\n"));
    ready();
    const auto& clock = relay->daemon().clock();
    const auto begin = clock.now();
    for (const auto* path : { "/once/1", "/again/1", "/stream/1" }) {
        const auto caller = relay->call(path, { { "X-Deadline-Ms", "3000" } }, path);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        LONGS_EQUAL(503, caller->head.status);
        STRCMP_CONTAINS("endpoints-resting", caller->body.c_str());
        const auto retryDelay = std::stod(caller->header("Retry-After"));
        CHECK_TEXT(retryDelay > 2.5 && retryDelay < 3.5, caller->header("Retry-After").c_str());
    }
    CHECK_TEXT(clock.now() - begin < Milliseconds { 700 }, "the calls were held although no endpoint could serve them");
    LONGS_EQUAL(1, first.requests().size());
    LONGS_EQUAL(1, second.requests().size());
}

TEST(EndpointRest, ACallWithEnoughTimeWaitsForItsEnd)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest(rejectsWith("Retry-After: 0.3\r\n"));
    ready();
    const auto& clock = relay->daemon().clock();
    const auto begin = clock.now();
    const auto caller = relay->call("/once/1", { { "X-Deadline-Ms", "4000" } });
    CHECK(relay->runUntil([&] { return endpoint.requests().size() == 1; }));
    endpoint.onRequest(answerWhole);
    CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
    LONGS_EQUAL(200, caller->head.status);
    CHECK(clock.now() - begin >= Milliseconds { 300 });
    LONGS_EQUAL(2, endpoint.requests().size());
}

// The source of the list may lose an endpoint's entry for some seconds while the endpoint is alive and in back-off.
TEST(EndpointRest, SurvivesTheExpiryAndReturnOfTheEndpointsEntry)
{
    auto& backingOff = relay->addEndpoint("e1");
    backingOff.onRequest(rejectsWith("Retry-After: 5\r\n"));
    relay->addEndpoint("e2").onRequest(answerWhole);
    ready();
    callUntilReached("/once/1", backingOff);
    auto& directory = relay->daemon().directory();
    const auto now = relay->daemon().clock().now();
    directory.remove("e1", now);
    directory.dropExpired(now + Milliseconds { 2000 });
    CHECK_TEXT(!directory.find("e1"), "the entry should have expired");
    relay->list();
    CHECK(directory.find("e1") != nullptr);
    backingOff.forgetRequests();
    callFor("/once/1", Milliseconds { 300 });
    LONGS_EQUAL(0, backingOff.requests().size());
}

TEST(EndpointRest, GetsNoLoadQueries)
{
    relay->useEngineService();
    auto& backingOff = relay->addEndpoint("e1");
    backingOff.onRequest(rejectsWith("Retry-After: 2\r\n"));
    for (const auto* id : { "e2", "e3" })
        relay->addEndpoint(id).onRequest([](ScriptedConnection& connection, const std::string& request) {
            if (request.find("/api/report") != std::string::npos)
                connection.answer(200, "", R"({"waiting":0,"running":0,"runs":[]})");
            else
                answerStream(connection, request);
        });
    ready();
    callUntilReached("/stream/1", backingOff);
    backingOff.forgetRequests();
    callFor("/stream/1", Milliseconds { 300 });
    LONGS_EQUAL(0, backingOff.requests().size());
}

// Without a signature or the header of a rejection, the response may come from any process at the address.
TEST(EndpointRest, IsIgnoredInUnsignedResponses)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& connection, const std::string& request) {
        connection.answer(503, idLineOf(request) + "Retry-After: 60\r\nServer-Leaving: 1\r\n", "");
    });
    ready();
    callAndWait("/once/1");
    const auto known = relay->daemon().directory().find("e1");
    CHECK_FALSE(known->isInBackOff(relay->daemon().clock().now()));
    CHECK_FALSE(known->isShuttingDown());
}

TEST(EndpointRest, GetsNoHedgedCall)
{
    relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 20 };
    auto& backingOff = relay->addEndpoint("e1");
    backingOff.onRequest(rejectsWith("Retry-After: 5\r\n"));
    auto& slow = relay->addEndpoint("e2");
    slow.onRequest(answerWhole);
    ready();
    callUntilReached("/again/1", backingOff);
    backingOff.forgetRequests();
    slow.onRequest([](ScriptedConnection&, const std::string&) {});
    const auto caller = relay->call("/again/1", { { "X-Deadline-Ms", "200" } }, "slow");
    CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
    LONGS_EQUAL(0, backingOff.requests().size());
}

TEST(EndpointRest, GetsNoProbes)
{
    relay->settings.probeAfterSilence = relay->settings.probeAfterSilenceWhenSuspected = Milliseconds { 10 };
    auto& engine = relay->addEndpoint("e1");
    // Its stream stops after the first event.
    engine.onRequest([](ScriptedConnection& connection, const std::string& request) {
        connection.beginStream(signedHeadOf(request));
        connection.sendEvent(1);
    });
    ready();
    const auto stream = relay->call("/stream/1", {}, "stream");
    CHECK(relay->runUntil([&] { return !stream->body.empty(); }));
    const auto known = relay->daemon().directory().find("e1");
    const auto& clock = relay->daemon().clock();
    known->noteSignals({ .backOff = { Milliseconds { 5000 }, "" } }, clock.now());
    engine.forgetRequests();
    const auto end = clock.now() + Milliseconds { 300 };
    relay->runUntil([&] { return clock.now() >= end; });
    LONGS_EQUAL(0, engine.requests().size());
}

// A stream that no engine accepts within the time that it can wait is refused at once. The retry times of such streams
// are spread over an interval after the back-off ends.
TEST(EndpointRest, SpreadsTheRetryTimesOfRefusedStreams)
{
    relay->addEndpoint("e1").onRequest(rejectsWith("Retry-After: 3\r\n"));
    ready();
    std::set<std::string> times;
    for (const auto* id : { "a", "b", "c", "d" }) {
        const auto caller = relay->call("/stream/1", {}, id);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        times.insert(caller->header("Retry-After"));
    }
    CHECK_TEXT(std::stod(*times.rbegin()) - std::stod(*times.begin()) > 0.03, "the retry times should be spread");
}
