// Which requests the relay records as started by an endpoint, for the usage of their organisations.
#include "RelayHarness.h"
#include "relay/UsageRecorder.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

class CountingRecorder final : public UsageRecorder {
public:
    void noteStarted(const std::string& organisation, Milliseconds) override { ++counts[organisation]; }

    std::map<std::string, int> counts;
};

} // namespace

TEST_GROUP(UsageRecording)
{
    std::unique_ptr<RelayHarness> relay;
    CountingRecorder recorder;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->addKeyedRoute("keyed", "k1", "museum");
        relay->addRoute("again", RequestKind::Idempotent, 3);
        relay->addRoute("stream", RequestKind::EventStream, 3);
    }

    void teardown() override { relay.reset(); }

    void ready()
    {
        relay->daemon().setUsageRecorder(&recorder);
        relay->configure();
        relay->list();
    }

    void finish(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
    }

    int total() const
    {
        int sum = 0;
        for (const auto& count : recorder.counts)
            sum += count.second;
        return sum;
    }

    static ScriptedConnection::OnRequest answers(int status, const std::string& head)
    {
        return [status, head](
                   ScriptedConnection& connection, const std::string&) { connection.answer(status, head, "body"); };
    }

    static ScriptedConnection::OnRequest streams(int eventId)
    {
        return [eventId](ScriptedConnection& connection, const std::string& request) {
            connection.beginStream(signedHeadFor(request));
            connection.sendEvent(eventId);
            connection.endStream();
        };
    }
};

TEST(UsageRecording, CountsARequestForItsOrganisation)
{
    relay->addEndpoint("e1").onRequest(answers(200, signedHead));
    ready();
    finish(relay->call("/keyed/1", { { "Api-Key", "k1" } }));
    LONGS_EQUAL(1, recorder.counts["museum"]);
    LONGS_EQUAL(1, total());
}

TEST(UsageRecording, CountsARequestOnceThatSeveralEndpointsHaveRun)
{
    for (const auto* const id : { "e1", "e2", "e3" })
        relay->addEndpoint(id).onRequest(answers(500, signedHead));
    ready();
    finish(relay->call("/again/1"));
    LONGS_EQUAL(1, total());
}

TEST(UsageRecording, CountsNoRequestThatEveryEndpointRejects)
{
    relay->addEndpoint("e1").onRequest(answers(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n"));
    ready();
    finish(relay->call("/again/1", { { "X-Deadline-Ms", "120" } }));
    LONGS_EQUAL(0, total());
}

TEST(UsageRecording, CountsARequestWhoseAnswerWasLost)
{
    relay->addEndpoint("e1").onRequest([](ScriptedConnection& connection, const std::string&) { connection.reset(); });
    ready();
    finish(relay->call("/keyed/1", { { "Api-Key", "k1" } }));
    LONGS_EQUAL(1, recorder.counts["museum"]);
}

TEST(UsageRecording, CountsAStreamWithItsFirstEvent)
{
    relay->addEndpoint("e1").onRequest(streams(1));
    ready();
    finish(relay->call("/stream/1"));
    LONGS_EQUAL(1, total());
}

TEST(UsageRecording, CountsNoStreamThatACallerResumes)
{
    relay->addEndpoint("e1").onRequest(streams(2));
    ready();
    const auto caller = relay->call("/stream/1", { { "Last-Event-Id", "1" } });
    finish(caller);
    LONGS_EQUAL(200, caller->head.status);
    LONGS_EQUAL(0, total());
}
