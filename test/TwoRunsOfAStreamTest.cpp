// Guards against an engine that works on a stream while the stream goes on at another engine.
#include "FixedRunLocation.h"
#include "RelayHarness.h"
#include "WorkingEngine.h"
#include "relay/Policy.h"
#include "relay/RunLocations.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// The platform's limit on the time for which two engines may work on one request.
constexpr Milliseconds maxDoubleRun { 400 };
constexpr Milliseconds silenceBeforeProbe { 10 };

} // namespace

TEST_GROUP(TwoRunsOfAStream)
{
    std::unique_ptr<RelayHarness> relay;
    std::unique_ptr<WorkingEngine> before;
    std::unique_ptr<WorkingEngine> holder;
    FixedRunLocation locations;
    bool hasContinued { false };
    bool wasWorkingAtContinuation { false };
    std::size_t stopsBeforeContinuation { 0 };

    void setup() override { start(true); }

    // Starts a relay with two engines, the second of which holds the copy of a run if there are copies. They are in
    // different zones, so that the stream begins at the first one.
    void start(bool hasCopies)
    {
        teardown();
        relay = std::make_unique<RelayHarness>();
        if (!hasCopies)
            relay->settings.policies.switchOff(Policy::GrowingCopies);
        relay->useCopyingService();
        relay->addRoute("stream", RequestKind::EventStream, 5);
        relay->settings.probeAfterSilence = silenceBeforeProbe;
        relay->settings.probeAfterSilenceWhenSuspected = silenceBeforeProbe;
        relay->settings.probeTimeout = silenceBeforeProbe;
        before = addEngine("e1", "a");
        before->sendEvents(1, 2);
        holder = addEngine("e2", "b");
        holder->answerProbes();
    }

    void teardown() override
    {
        before.reset();
        holder.reset();
        relay.reset();
    }

    std::unique_ptr<WorkingEngine> addEngine(const std::string& id, const std::string& zone)
    {
        auto& endpoint = relay->addEndpoint(id, zone);
        auto engine = std::make_unique<WorkingEngine>();
        endpoint.onRequest([engine = engine.get()](ScriptedConnection& asker, const std::string& request) {
            engine->handle(asker, request);
        });
        return engine;
    }

    std::shared_ptr<TestCaller> callStream(const HttpHeaders& extra = {})
    {
        relay->configure();
        relay->list();
        return relay->call("/stream/1", extra);
    }

    void wait(Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        relay->runUntil([&clock, end = clock.now() + time] { return clock.now() >= end; });
    }

    void waitForContinuation()
    {
        CHECK_TEXT(relay->runUntil([&] { return holder->hasBegun(); }), "the stream did not go on from its copy");
        wait(maxDoubleRun);
    }

    // The continuation must begin only when the engine before has ended the run: from then on the VM may stand still.
    void expectStopBeforeContinuation()
    {
        holder->onBegin([this] {
            hasContinued = true;
            stopsBeforeContinuation = before->stopped.size();
            wasWorkingAtContinuation = before->isWorking();
        });
    }

    void checkStopBeforeContinuation()
    {
        CHECK_TEXT(relay->runUntil([&] { return hasContinued; }), "the stream did not go on from its copy");
        CHECK_TEXT(stopsBeforeContinuation > 0, "the stream went on before the engine before was asked to stop");
        CHECK_TEXT(!wasWorkingAtContinuation, "the stream went on while the engine before worked on");
    }

    // Lists the engine as one that is about to leave.
    void drain(const std::string& id)
    {
        auto& directory = relay->daemon().directory();
        std::vector<EndpointEntry> entries;
        for (const auto& endpoint : directory.endpointsOf("s")) {
            entries.push_back(endpoint->entry());
            if (entries.back().id == id)
                entries.back().isDraining = true;
        }
        directory.replaceAll(entries, relay->daemon().clock().now());
    }

    void waitForEvents(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK(relay->runUntil([&] { return caller->body.find("id: 2") != std::string::npos; }));
    }
};

TEST(TwoRunsOfAStream, WhileTheFirstEventFromACopyIsLate)
{
    const auto caller = callStream();
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    CHECK(holder->isWorking());
}

TEST(TwoRunsOfAStream, WhenTheCloseOfAConnectionDoesNotArrive)
{
    before->ignoreClose();
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    CHECK(holder->isWorking());
}

TEST(TwoRunsOfAStream, WhenAConnectionIsResetForTheVmAlone)
{
    before->ignoreClose();
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    CHECK(holder->isWorking());
}

TEST(TwoRunsOfAStream, WhenASilentRunGoesOnAndTheCloseOfItsSubstituteDoesNotArrive)
{
    // The substitute reads the prompt again, because there is no copy.
    start(false);
    holder->ignoreClose();
    const auto caller = callStream();
    CHECK(relay->runUntil([&] { return holder->hasBegun(); }));
    before->run().sendEvent(3);
    before->run().endStream();
    wait(maxDoubleRun);
    CHECK_TEXT(!holder->isWorking(), "the substitute works on");
    CHECK(caller->isWhole);
}

TEST(TwoRunsOfAStream, WhenASilentRunWakesAfterItsCopyWasContinued)
{
    before->leaveStopsUnanswered();
    const auto caller = callStream();
    CHECK(relay->runUntil([&] { return holder->hasBegun(); }));
    before->run().sendEvent(3);
    wait(maxDoubleRun);
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    CHECK_TEXT(!before->stopped.empty(), "the engine before was not asked to stop");
    CHECK(holder->isWorking());
    holder->run().sendEvent(3);
    holder->run().sendEvent(4);
    holder->run().endStream();
    CHECK(relay->runUntil([&] { return caller->isWhole; }));
    CHECK_TEXT(caller->body.find("id: 3") == caller->body.rfind("id: 3"), "an event was repeated");
}

// Guards against a prompt that is read again because a run was stopped for a copy that does not exist.
TEST(TwoRunsOfAStream, AStoppedRunGoesOnWhenItsCopyIsRejected)
{
    holder->rejectCopies(Milliseconds { 50 }, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForEvents(caller);
    before->sendEvents(3, 2);
    CHECK(relay->runUntil([&] { return before->runs() == 2; }));
    CHECK_TEXT(before->lastRequest().find("/h2\r\n") != std::string::npos, "the run must go on from its KV cache");
    CHECK_TEXT(before->lastRequest().find("Last-Event-Id: 2\r\n") != std::string::npos, "no event may be repeated");
    before->run().sendEvent(3);
    before->run().endStream();
    CHECK(relay->runUntil([&] { return caller->isWhole; }));
    CHECK(caller->body.find("id: 3") != std::string::npos);
    LONGS_EQUAL_TEXT(0, holder->runs(), "the prompt must not be read again");
    LONGS_EQUAL_TEXT(0, before->freed.size(), "the engine frees a KV cache that was used");
}

// Guards against an answer that is thrown away although the silent run has completed it.
TEST(TwoRunsOfAStream, ASilentRunThatCompletesTheAnswerIsUsed)
{
    holder->leaveProbesUnanswered();
    const auto caller = callStream();
    waitForEvents(caller);
    // The run is silent, and no engine is known to be alive.
    wait(Milliseconds { 100 });
    before->run().sendEvent(3);
    before->run().endStream();
    CHECK(relay->runUntil([&] { return caller->isWhole; }));
    CHECK(caller->body.find("id: 3") != std::string::npos);
    wait(maxDoubleRun);
    LONGS_EQUAL(0, holder->runs());
    LONGS_EQUAL(0, before->stopped.size());
}

TEST(TwoRunsOfAStream, WhenACallerResumesAtAnotherVm)
{
    before->ignoreClose();
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForEvents(caller);
    caller->connection->close();
    locations.location = { .endpointId = "e1", .copyHolderId = "e2", .requestId = "r1", .version = "v1" };
    relay->daemon().setRunLocations(&locations);
    const auto again = relay->call("/stream/1", { { "Last-Event-Id", "2" } }, "r2");
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    CHECK(holder->isWorking());
}

// Guards against a stop that is given up while the engine copies the run.
TEST(TwoRunsOfAStream, WhenTheEngineIsBusyWithAnotherRequestForTheRun)
{
    before->ignoreClose();
    before->answerStops({ { 409, "{}" }, { 200, R"({"handle":"h2"})" } });
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
    LONGS_EQUAL(2, before->stopped.size());
}

TEST(TwoRunsOfAStream, TheMemoryOfAStoppedRunIsFreed)
{
    // Without room at the target, the KV cache stays at the engine that has stopped the run.
    before->answerStops({ { 503, R"({"handle":"h7"})" } });
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForContinuation();
    LONGS_EQUAL(1, before->stopped.size());
    CHECK(std::count(before->freed.begin(), before->freed.end(), "DELETE /api/kv-handle/h7") == 1);
}

TEST(TwoRunsOfAStream, AnEngineThatDoesNotRunTheRequestIsAskedOnce)
{
    before->answerStops({ { 404, "{}" } });
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForContinuation();
    LONGS_EQUAL(1, before->stopped.size());
    LONGS_EQUAL(0, before->freed.size());
}

TEST(TwoRunsOfAStream, TheRunThatGoesOnIsNotStopped)
{
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForContinuation();
    STRCMP_EQUAL("r1", before->stopped.front().c_str());
    LONGS_EQUAL(0, holder->stopped.size());
}

// A stop that is under way names only the request, and would stop its next run at that engine as well.
TEST(TwoRunsOfAStream, NoRunIsSentToAnEngineThatMayStillBeToldToStop)
{
    before->leaveStopsUnanswered();
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    CHECK(relay->runUntil([&] { return !before->stopped.empty() && holder->hasBegun(); }));
    holder->run().reset();
    wait(maxDoubleRun);
    LONGS_EQUAL_TEXT(1, before->runs(), "a run was sent to the engine while a request to stop it was unanswered");
}

// Guards against an engine that nobody has told to stop when the VM stands still.
TEST(TwoRunsOfAStream, WhenTheVmStandsStillAfterItsSilentRunWasContinued)
{
    before->ignoreClose();
    expectStopBeforeContinuation();
    const auto caller = callStream();
    checkStopBeforeContinuation();
}

TEST(TwoRunsOfAStream, WhenTheVmStandsStillAfterItsLostRunWasContinued)
{
    before->ignoreClose();
    expectStopBeforeContinuation();
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    checkStopBeforeContinuation();
}

TEST(TwoRunsOfAStream, WhenTheVmStandsStillAfterItContinuedTheRunOfAnotherVm)
{
    before->ignoreClose();
    expectStopBeforeContinuation();
    const auto caller = callStream();
    waitForEvents(caller);
    caller->connection->close();
    locations.location = { .endpointId = "e1", .copyHolderId = "e2", .requestId = "r1", .version = "v1" };
    relay->daemon().setRunLocations(&locations);
    const auto again = relay->call("/stream/1", { { "Last-Event-Id", "2" } }, "r2");
    checkStopBeforeContinuation();
}

// Guards against a stop that is refused for longer than two engines may work on one request.
TEST(TwoRunsOfAStream, WhenTheStopIsRefusedForAWhile)
{
    before->ignoreClose();
    before->answerStops({ { 409, "{}" }, { 409, "{}" }, { 409, "{}" }, { 200, R"({"handle":"h2"})" } });
    expectStopBeforeContinuation();
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    checkStopBeforeContinuation();
}

// Guards against a stream that waits for an engine which does not say that it has stopped.
TEST(TwoRunsOfAStream, AStreamGoesOnThoughItsStopIsNotAnswered)
{
    before->leaveStopsUnanswered();
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    CHECK(relay->runUntil([&] { return caller->body.find("id: 3") != std::string::npos; }));
}

// Guards against a stream that waits until its deadline for an engine that may still read a request to stop its run,
// although other engines could read the prompt again.
TEST(TwoRunsOfAStream, AStreamDoesNotWaitForTheMemoryOfAnEngineThatMayStillBeToldToStop)
{
    before->answerStops({ { 0, "" }, { 200, R"({"handle":"h2"})" } });
    holder->rejectCopies(Milliseconds { 150 }, relay->daemon().ioContext());
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    CHECK(relay->runUntil([&] { return holder->rejections() > 0; }));
    wait(Milliseconds { 1000 });
    LONGS_EQUAL_TEXT(2, before->stopped.size(), "the second request was answered");
    LONGS_EQUAL_TEXT(1, before->runs(), "a run was sent to the engine while a request to stop it was unanswered");
    CHECK_TEXT(holder->hasBegun(), "the stream waits although an engine is free");
}

// Guards against a request that reaches an engine after the platform has been told that the engine is leaving.
TEST(TwoRunsOfAStream, ADrainingEngineDoesNotContinueFromTheMemoryOfItsStoppedRun)
{
    holder->rejectCopies(Milliseconds { 150 }, relay->daemon().ioContext());
    holder->sendEvents(3, 3);
    const auto caller = callStream();
    waitForEvents(caller);
    before->run().reset();
    CHECK(relay->runUntil([&] { return !before->stopped.empty(); }));
    wait(Milliseconds { 60 });
    drain("e1");
    CHECK(relay->runUntil([&] { return holder->rejections() > 0; }));
    CHECK(relay->runUntil([&] { return holder->hasBegun() || before->runs() > 1; }));
    LONGS_EQUAL_TEXT(1, before->runs(), "a draining engine must not receive the run");
}

// Guards against a request that reaches an engine that was listed as leaving while the stream waited for a stop.
TEST(TwoRunsOfAStream, AnEngineThatIsLeavingSinceTheWaitBeganDoesNotContinue)
{
    relay->settings.removedEndpointGrace = Milliseconds { 0 };
    before->ignoreClose();
    before->answerStops({ { 409, "{}" }, { 409, "{}" }, { 409, "{}" }, { 200, R"({"handle":"h2"})" } });
    const auto caller = callStream();
    waitForEvents(caller);
    // Listed only now, so that the stream begins at e1.
    const auto third = addEngine("e3", "a");
    third->answerProbes();
    third->sendEvents(3, 3);
    relay->list();
    before->run().reset();
    CHECK(relay->runUntil([&] { return !before->stopped.empty(); }));
    wait(Milliseconds { 30 });
    LONGS_EQUAL(0, holder->runs());
    drain("e2");
    CHECK(relay->runUntil([&] { return holder->hasBegun() || third->hasBegun() || before->runs() > 1; }));
    LONGS_EQUAL_TEXT(0, holder->runs(), "an engine that leaves must not receive the run");
}

// Guards against a silent engine that wakes after the stream has gone on, is busy with another request for the run, and
// works on meanwhile.
TEST(TwoRunsOfAStream, WhenASilentEngineRefusesTheStopForAWhile)
{
    before->ignoreClose();
    std::vector<std::pair<int, std::string>> answers(7, { 409, "{}" });
    answers.front() = { 0, "" };
    answers.emplace_back(200, R"({"handle":"h2"})");
    before->answerStops(answers);
    const auto caller = callStream();
    waitForContinuation();
    CHECK_TEXT(!before->isWorking(), "the engine before works on");
}
