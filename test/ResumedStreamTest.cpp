// A stream that its caller resumes at this VM continues from the copy of its run, or without it.
//
// Load pattern: all VMs are terminated and their callers resume seconds later, when the engines no longer have the
// copies. Each delivery to the holder of a copy is rejected, and the next one is a retry.
#include "FixedRunLocation.h"
#include "RelayHarness.h"
#include "copies/CopyOutcomes.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ResumedStream)
{
    std::unique_ptr<RelayHarness> relay;
    FixedRunLocation locations;
    ScriptedEndpoint* holder { nullptr };
    std::size_t deliveriesToCopies { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.retryRatio = 0;
        relay->settings.retrySlackShare = 1;
        relay->settings.retryShare = 1;
        relay->settings.lateStreamShare = 1;
        relay->settings.vmName = "a";
        relay->addRoute("stream", RequestKind::EventStream, 5);
    }

    void teardown() override { relay.reset(); }

    static void continueStream(ScriptedConnection & client, const std::string& request)
    {
        client.beginStream(signedHeadFor(request));
        client.sendEvent(3);
        client.endStream();
    }

    // Two engines, of which the first one should hold the run's copy.
    void ready(double retries, bool hasCopy)
    {
        relay->settings.retrySlack = retries;
        holder = &relay->addEndpoint("e1");
        holder->onRequest([this, hasCopy](ScriptedConnection& client, const std::string& request) {
            const bool isFromCopy = request.find("Kv-From") != std::string::npos;
            deliveriesToCopies += isFromCopy ? 1 : 0;
            if (isFromCopy && !hasCopy)
                client.answer(503, signedHeadFor(request) + "X-Not-Executed: shed\r\n", "");
            else
                continueStream(client, request);
        });
        relay->addEndpoint("e2").onRequest(continueStream);
        relay->configure();
        relay->list();
        locations.location = { "e2", "e1", "r0", { "127.0.0.1", holder->port() }, "v1" };
        relay->daemon().setRunLocations(&locations);
    }

    std::shared_ptr<TestCaller> resume(const std::string& id)
    {
        return relay->call("/stream/1", { { "Resumes", "r0" }, { "Last-Event-Id", "2" } }, id);
    }

    void await(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "the stream did not end");
    }
};

// Guards against streams that are refused because their only delivery went to an engine that no longer has the copy.
TEST(ResumedStream, DoesNotTryACopyAfterOthersWereGoneWithoutARetryLeft)
{
    ready(2, false);
    for (const auto* id : { "r1", "r2", "r3", "r4" }) {
        const auto caller = resume(id);
        await(caller);
        LONGS_EQUAL(200, caller->head.status);
    }
    LONGS_EQUAL(2, deliveriesToCopies);
}

TEST(ResumedStream, ContinuesFromItsCopyWithoutARetryLeft)
{
    ready(0, true);
    for (const auto* id : { "r1", "r2" }) {
        const auto caller = resume(id);
        await(caller);
        LONGS_EQUAL(200, caller->head.status);
    }
    LONGS_EQUAL(2, deliveriesToCopies);
}

// The load pattern: more streams return at once than retries are left, and none of the copies is there.
TEST(ResumedStream, AllStreamsContinueWhenMoreReturnWithoutCopiesThanRetriesAreLeft)
{
    constexpr std::size_t retries = 5;
    ready(retries, false);
    for (std::size_t i = 0; i < 3 * retries; ++i) {
        const auto caller = resume("r" + std::to_string(i));
        await(caller);
        LONGS_EQUAL(200, caller->head.status);
    }
    LONGS_EQUAL(retries, deliveriesToCopies);
}

TEST_GROUP(CopyOutcomes) {};

TEST(CopyOutcomes, ExpectsCopiesUntilTwoWereRejectedInSuccession)
{
    CopyOutcomes outcomes;
    outcomes.noteRejected(Milliseconds { 100 });
    CHECK(outcomes.areExpected(Milliseconds { 100 }));
    outcomes.noteRejected(Milliseconds { 200 });
    CHECK_FALSE(outcomes.areExpected(Milliseconds { 200 }));
}

TEST(CopyOutcomes, ExpectsCopiesAgainAfterOneWasUsed)
{
    CopyOutcomes outcomes;
    outcomes.noteRejected(Milliseconds { 100 });
    outcomes.noteUsed();
    outcomes.noteRejected(Milliseconds { 200 });
    CHECK(outcomes.areExpected(Milliseconds { 200 }));
}

TEST(CopyOutcomes, ForgetsRejections)
{
    CopyOutcomes outcomes;
    outcomes.noteRejected(Milliseconds { 100 });
    outcomes.noteRejected(Milliseconds { 200 });
    CHECK(outcomes.areExpected(Milliseconds { 10000 }));
}
