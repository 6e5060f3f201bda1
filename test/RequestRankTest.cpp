#include "admission/RequestRank.h"
#include "RelayHarness.h"
#include "admission/WaitForCapacity.h"
#include "admission/WaitingRequestLimit.h"
#include "relay/RelayRequest.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds ageingTime { 200 };
constexpr Milliseconds start { 0 };

RequestRank named(unsigned rank) { return { rank, true }; }

} // namespace

TEST_GROUP(RequestRank) {};

TEST(RequestRank, TheRankOfAnOrganisationOverridesThatOfARoute)
{
    LONGS_EQUAL(3, effectiveRank(3, 0).value);
    LONGS_EQUAL(0, effectiveRank(std::nullopt, 0).value);
    CHECK_FALSE(effectiveRank(std::nullopt, std::nullopt).isNamed);
}

TEST(RequestRank, LateAnswersYieldToAllThatCanBeInTime)
{
    LONGS_EQUAL(0, enginePriority(0, {}));
    LONGS_EQUAL(7, enginePriority(9, {}));
    LONGS_EQUAL(3, enginePriority(2, { .isAboveShare = true }));
    LONGS_EQUAL(7, enginePriority(7, { .isAboveShare = true }));
    LONGS_EQUAL(8, enginePriority(0, { .isLate = true }));
    LONGS_EQUAL(8, enginePriority(4, { .isLate = true, .isAboveShare = true }));
    LONGS_EQUAL(9, enginePriority(5, { .isLate = true }));
}

// Guards against starvation: without ageing, the least urgent request would lose its place to any newcomer.
TEST(RequestRank, AWaitingRequestOfTheLowestRankIsNotDisplacedForever)
{
    const RankedWait waiting { named(9), start };
    CHECK(isMoreUrgent({ named(0), start }, waiting, start, ageingTime));
    const Milliseconds later { 9 * ageingTime };
    CHECK_FALSE(isMoreUrgent({ named(0), later }, waiting, later, ageingTime));
}

// Guards against losing an urgent request to a surge of requests of a low rank that arrived before it.
TEST(RequestRank, TheLeastUrgentWaitingRequestIsRefusedWhenTheSetIsFull)
{
    WaitingRequestLimit limit;
    unsigned refused = 0;
    std::size_t refusedAt = 0;
    for (std::size_t i = 0; i < WaitingRequestLimit::maxRequests; ++i) {
        const auto rank = named(i == 100 ? 7 : 2);
        limit.enter({ 1, { rank, start } }, start, [&refused, &refusedAt, i] { ++refused, refusedAt = i; });
    }
    CHECK_FALSE(limit.enter({ 1, { named(7), start } }, start, {}).has_value());
    CHECK(limit.enter({ 1, { named(0), start } }, start, {}).has_value());
    LONGS_EQUAL(1, refused);
    LONGS_EQUAL(100, refusedAt);
    LONGS_EQUAL(WaitingRequestLimit::maxRequests, limit.count());
    CHECK_FALSE_TEXT(limit.enter({ WaitingRequestLimit::maxBytes, { named(0), start } }, start, {}).has_value(),
        "one displaced request does not make room for this body");
    LONGS_EQUAL(1, refused);
}

// Guards against a change for configurations without ranks: a request that waits again has waited longer than others.
TEST(RequestRank, RequestsWithoutRanksDoNotDisplaceEachOther)
{
    WaitingRequestLimit limit;
    const Milliseconds now { 5000 };
    for (std::size_t i = 0; i < WaitingRequestLimit::maxRequests; ++i)
        limit.enter({ 1, { {}, now } }, now, [] { FAIL("a request without a rank was displaced"); });
    CHECK_FALSE(limit.enter({ 1, { {}, start } }, now, {}).has_value());
}

// Guards against callers that are refused together and retry together. 300 callers of two ranks are refused at once.
TEST(RequestRank, RefusedCallersReturnSpreadAndUrgentOnesFirst)
{
    const auto returning = [](unsigned rank, Milliseconds from, Milliseconds to) {
        unsigned count = 0;
        for (int i = 0; i < 300; ++i) {
            const auto delay
                = callerRetryDelay(CapacityObstacle::Unreachable, Milliseconds { 3000 }, i / 299.0, named(rank));
            count += delay >= from && delay < to ? 1 : 0;
        }
        return count;
    };
    LONGS_EQUAL(300, returning(0, Milliseconds { 300 }, Milliseconds { 700 }));
    LONGS_EQUAL(300, returning(4, Milliseconds { 600 }, Milliseconds { 1001 }));
    CHECK_TEXT(
        returning(0, Milliseconds { 400 }, Milliseconds { 450 }) <= 60, "a fifth at most in a tenth of the time");
    LONGS_EQUAL_TEXT(1000, callerRetryDelay(CapacityObstacle::Unreachable, Milliseconds { 3000 }, 0.1).count(),
        "nothing changes without a rank");
}

TEST_GROUP(RankOfStreams)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override { relay = std::make_unique<RelayHarness>(); }
    void teardown() override { relay.reset(); }

    static ScriptedConnection::OnRequest serves()
    {
        return [](ScriptedConnection& client, const std::string&) {
            client.beginStream(signedHead);
            client.sendEvent(1);
            client.endStream();
        };
    }

    void await(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "the stream did not end");
    }

    // Serves one stream and returns what its engine received.
    std::string received(const HttpHeaders& extra = {})
    {
        relay->addRoute("stream", RequestKind::EventStream, 5);
        auto& engine = relay->addEndpoint("e1");
        engine.onRequest(serves());
        relay->configure();
        relay->list();
        await(relay->call("/stream/1", extra));
        return engine.requests().at(0);
    }
};

// Guards against a caller that raises its own rank, and against a priority where the configuration names none.
TEST(RankOfStreams, ACallerCannotSetThePriority)
{
    relay->useEngineService();
    const auto text = received({ { "X-Request-Priority", "0" } });
    CHECK(text.find("X-Request-Priority") == std::string::npos);
}

TEST(RankOfStreams, ANamedRankReplacesThePriorityOfTheCaller)
{
    relay->useEngineService();
    relay->useRank(2);
    const auto text = received({ { "X-Request-Priority", "0" } });
    STRCMP_CONTAINS("X-Request-Priority: 2\r\n", text.c_str());
    CHECK(text.find("X-Request-Priority: 0") == std::string::npos);
}

TEST(RankOfStreams, ThePriorityIsSentToEnginesOnly)
{
    relay->useRank(2);
    CHECK(received().find("X-Request-Priority") == std::string::npos);
}

// Guards against a change on the wire for configurations without ranks.
TEST(RankOfStreams, WithoutRanksTheForwardedBytesAreUnchanged)
{
    relay->useEngineService();
    auto text = received({ { "X-Token-Usage", "100,20" }, { "X-Deadline-Ms", "9000" } });
    const auto deadline = text.find("X-Deadline-Ms: ");
    text.replace(deadline, text.find("\r\n", deadline) - deadline, "X-Deadline-Ms: T");
    STRCMP_EQUAL("POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Token-Usage: 100,20\r\n"
                 "X-Deadline-Ms: T\r\nX-Expect-Instance: e1\r\nContent-Length: 4\r\n\r\nbody",
        text.c_str());
}

// Guards against a rank that changes under a request that waits for an engine.
TEST(RankOfStreams, AWaitingRequestKeepsTheRankOfItsAdmission)
{
    relay->useEngineService();
    relay->useRank(3);
    relay->addRoute("stream", RequestKind::EventStream, 5);
    relay->configure();
    relay->list();
    const auto caller = relay->call("/stream/1");
    relay->daemon().ioContext().run_for(Milliseconds { 60 });
    relay->useEngineService();
    relay->useRank(6);
    relay->addRoute("stream", RequestKind::EventStream, 5);
    relay->configure();
    auto& engine = relay->addEndpoint("e1");
    engine.onRequest(serves());
    relay->list();
    await(caller);
    CHECK(engine.hasReceived(0, "X-Request-Priority: 3\r\n"));
    await(relay->call("/stream/1"));
    CHECK(engine.hasReceived(1, "X-Request-Priority: 6\r\n"));
}

// Guards against requests without a rank that are logged, and counted by lupinknotctl losses, with the rank 4294967295.
TEST(RequestRank, ARequestWithoutARankIsLoggedWithMinusOne)
{
    CHECK_EQUAL(std::int64_t { -1 }, loggedRank({ 5, false }));
    CHECK_EQUAL(std::int64_t { 5 }, loggedRank({ 5, true }));
}
