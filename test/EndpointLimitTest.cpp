// An endpoint's responses state how many requests per second it takes from all VMs together (Server-Limit). The tests
// guard against VMs that ignore the limit. An endpoint with a limit of 1.1 requests per second received 22 requests in
// 4 s (12 are allowed), and one with 2.5 received 22 (20 are allowed), from VMs that had passed such responses on to
// their callers. One VM alone sent 18 requests in 4 s to the endpoint with the limit of 1.1, and only four of the 30
// requests of all VMs were retries. The shares of the four endpoints stayed the same: one endpoint received 13 requests
// in the four seconds before and 30 after, another one 30 and 36. A limit for all VMs cannot be kept by a VM alone,
// because it does not know how much of it the others use.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// The most requests that an endpoint with this limit may receive within four seconds.
constexpr double maxRequestsInFourSeconds(double perSecond) { return 1.5 * 4 * perSecond + 5; }

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

ScriptedConnection::OnRequest answersWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& connection, const std::string& request) {
        connection.answer(200, signedHeadOf(request) + headerLines, "ok");
    };
}

ScriptedConnection::OnRequest streamsWith(const std::string& headerLines)
{
    return [headerLines](ScriptedConnection& connection, const std::string& request) {
        connection.beginStream(signedHeadOf(request) + headerLines);
        connection.sendEvent(1);
        connection.endStream();
    };
}

} // namespace

TEST_GROUP(EndpointLimit)
{
    std::unique_ptr<RelayHarness> relay;
    int calls { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        // Disables hedging of slow calls.
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->addRoute("once", RequestKind::NonIdempotent, 2);
        relay->addRoute("stream", RequestKind::EventStream, 5);
    }

    void teardown() override { relay.reset(); }

    void ready()
    {
        relay->configure();
        relay->list();
    }

    // Sends this many calls at once and checks that all of them are served.
    void serveTogether(const std::string& path, int count, const HttpHeaders& extra = {})
    {
        std::vector<std::shared_ptr<TestCaller>> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            callers.push_back(relay->call(path, extra, "r" + std::to_string(++calls)));
        for (const auto& caller : callers) {
            CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no answer came");
            LONGS_EQUAL(200, caller->head.status);
        }
    }

    // Sends 40 rounds of four calls, 40 ms apart.
    void serveInRounds(const std::string& path)
    {
        const auto& clock = relay->daemon().clock();
        for (int round = 0; round < 40; ++round) {
            const auto next = clock.now() + Milliseconds { 40 };
            serveTogether(path, 4);
            relay->runUntil([&] { return clock.now() >= next; });
        }
    }
};

TEST(EndpointLimit, CallsThatAnotherEndpointCanServeDoNotExceedIt)
{
    auto& limitedEndpoint = relay->addEndpoint("e1");
    limitedEndpoint.onRequest(answersWith("Server-Limit: 1\r\n"));
    relay->addEndpoint("e2").onRequest(answersWith(""));
    ready();
    // The first requests are sent before any response can state the limit.
    serveTogether("/once/1", 4);
    limitedEndpoint.forgetRequests();
    serveInRounds("/once/1");
    CHECK_TEXT(static_cast<double>(limitedEndpoint.requests().size()) <= maxRequestsInFourSeconds(1),
        ("requests received in less than four seconds: " + std::to_string(limitedEndpoint.requests().size())).c_str());
}

TEST(EndpointLimit, StreamsThatAnotherEndpointCanServeDoNotExceedIt)
{
    auto& limitedEndpoint = relay->addEndpoint("e1");
    limitedEndpoint.onRequest(streamsWith("Server-Limit: 1\r\n"));
    relay->addEndpoint("e2").onRequest(streamsWith(""));
    ready();
    serveTogether("/stream/1", 4);
    limitedEndpoint.forgetRequests();
    serveInRounds("/stream/1");
    CHECK_TEXT(static_cast<double>(limitedEndpoint.requests().size()) <= maxRequestsInFourSeconds(1),
        ("requests received in less than four seconds: " + std::to_string(limitedEndpoint.requests().size())).c_str());
}

// Guards against refusing a call at once because one endpoint's limit is spent, while another endpoint is only full for
// a moment. The call was refused with the retry delay of an endpoint that accepts a request every five seconds,
// although the full endpoint had capacity again within the call's deadline.
TEST(EndpointLimit, ACallStillWaitsForAnotherEndpointThatIsFullForAMoment)
{
    relay->addEndpoint("e1").onRequest(answersWith("Server-Limit: 0.2\r\n"));
    auto& full = relay->addEndpoint("e2");
    full.onRequest(answersWith(""));
    ready();
    // Calls until the limit is known and used up.
    serveInRounds("/once/1");
    int rejected = 0;
    full.onRequest([&rejected](ScriptedConnection& connection, const std::string& request) {
        if (++rejected <= 8)
            connection.answer(503, "X-Request-Id: " + idOf(request) + "\r\nX-Not-Executed: full\r\n", "");
        else
            answersWith("")(connection, request);
    });
    serveTogether("/once/1", 4, { { "X-Deadline-Ms", "1500" } });
}
