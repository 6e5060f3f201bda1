// Guards against streams that have begun and are broken off although an engine can still complete them in time.
#include "RelayHarness.h"
#include "WorkingEngine.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds silenceBeforeProbe { 10 };
constexpr Milliseconds retryWindow { 800 };
constexpr Milliseconds rejectionDelay { 50 };

} // namespace

TEST_GROUP(BrokenOffStream)
{
    std::unique_ptr<RelayHarness> relay;
    std::unique_ptr<WorkingEngine> before;
    std::unique_ptr<WorkingEngine> holder;

    // One retry for a continuation leaves none for a stream that is late.
    void setup() override { start(2, retryWindow); }

    // Starts a relay with two engines, the second of which holds the copy of the run that the first one begins.
    void start(double retries, Milliseconds window)
    {
        teardown();
        relay = std::make_unique<RelayHarness>();
        relay->useCopyingService();
        relay->addRoute("stream", RequestKind::EventStream, 5);
        auto& settings = relay->settings;
        settings.probeAfterSilence = silenceBeforeProbe;
        settings.probeAfterSilenceWhenSuspected = silenceBeforeProbe;
        settings.probeTimeout = silenceBeforeProbe;
        settings.retryRatio = 0;
        settings.retryShare = 1;
        settings.retrySlack = retries;
        settings.retrySlackShare = 1;
        settings.retryWindow = window;
        before = addEngine("e1", "a");
        before->sendEvents(1, 2);
        holder = addEngine("e2", "b");
        holder->answerProbes();
        holder->sendEvents(3, 3);
    }

    void teardown() override
    {
        before.reset();
        holder.reset();
        relay.reset();
    }

    std::unique_ptr<WorkingEngine> addEngine(const std::string& id, const std::string& zone)
    {
        auto engine = std::make_unique<WorkingEngine>();
        relay->addEndpoint(id, zone).onRequest([engine = engine.get()](ScriptedConnection& asker,
                                                   const std::string& request) { engine->handle(asker, request); });
        return engine;
    }

    std::shared_ptr<TestCaller> callStream(const HttpHeaders& extra = {})
    {
        relay->configure();
        relay->list();
        auto caller = relay->call("/stream/1", extra);
        CHECK(relay->runUntil([&] { return caller->body.find("id: 2") != std::string::npos; }));
        return caller;
    }

    void wait(Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        relay->runUntil([&clock, end = clock.now() + time] { return clock.now() >= end; });
    }

    void waitForRejection()
    {
        CHECK_TEXT(relay->runUntil([&] { return holder->rejections() > 0; }), "the copy was not tried");
    }

    void checkIsCompletedBy(WorkingEngine & engine, const std::shared_ptr<TestCaller>& caller)
    {
        CHECK(relay->runUntil([&] { return caller->body.find("id: 3") != std::string::npos || caller->isBroken; }));
        CHECK_TEXT(!caller->isBroken, "the stream was broken off");
        engine.run().endStream();
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        CHECK_TEXT(caller->isWhole, "the stream was broken off");
        CHECK_TEXT(caller->body.find("id: 3") == caller->body.rfind("id: 3"), "an event was repeated");
    }
};

TEST(BrokenOffStream, WhenItsCopyIsRejectedAndNoRetryIsLeft)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies();
    const auto caller = callStream();
    checkIsCompletedBy(*holder, caller);
}

TEST(BrokenOffStream, WhenTheConnectionToTheHolderOfItsCopyIsReset)
{
    before->leaveStopsUnanswered();
    holder->resetCopies();
    const auto caller = callStream();
    checkIsCompletedBy(*holder, caller);
}

TEST(BrokenOffStream, WhenItsSilentRunGoesOnAfterItsCopyWasRejected)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForRejection();
    wait(rejectionDelay);
    CHECK_TEXT(before->isWorking(), "the silent run was given up for a copy that does not exist");
    before->run().sendEvent(3);
    checkIsCompletedBy(*before, caller);
    LONGS_EQUAL_TEXT(0, holder->runs(), "the prompt must not be read again");
}

// The engine answers the request to stop only when the copy has been rejected.
TEST(BrokenOffStream, WhenItsStoppedRunIsKeptByItsEngine)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForRejection();
    wait(rejectionDelay);
    before->sendEvents(3, 3);
    before->answerStop();
    before->run().close();
    checkIsCompletedBy(*before, caller);
    CHECK_TEXT(before->lastRequest().find("/h2\r\n") != std::string::npos, "the run must go on from its KV cache");
    LONGS_EQUAL_TEXT(0, holder->runs(), "the prompt must not be read again");
}

// An engine closes the stream of a run that it stops, copies its memory, and answers only then.
TEST(BrokenOffStream, WhenItsStoppedRunIsClosedBeforeTheStopIsAnswered)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForRejection();
    wait(rejectionDelay);
    before->answerProbes();
    // The retry that the copy took returns meanwhile.
    for (int id = 3; id <= 12; ++id) {
        before->run().sendEvent(id);
        wait(retryWindow / 8);
    }
    before->sendEvents(13, 13);
    before->run().close();
    wait(Milliseconds { 5 });
    before->answerStop();
    CHECK(relay->runUntil([&] { return before->runs() + holder->runs() > 1; }));
    LONGS_EQUAL_TEXT(0, holder->runs(), "the prompt must not be read again");
    CHECK_TEXT(before->lastRequest().find("/h2\r\n") != std::string::npos, "the run must go on from its KV cache");
    CHECK(relay->runUntil([&] { return caller->body.find("id: 13") != std::string::npos; }));
}

// Guards against a repeated request that stops the run to which the stream has returned.
TEST(BrokenOffStream, WhenTheStopOfItsRunIsRefusedAfterItWentOn)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForRejection();
    wait(rejectionDelay);
    before->answerProbes();
    before->run().sendEvent(3);
    CHECK(relay->runUntil([&] { return caller->body.find("id: 3") != std::string::npos; }));
    const auto requests = before->stopped.size();
    before->refuseStop();
    wait(Milliseconds { 400 });
    LONGS_EQUAL_TEXT(requests, before->stopped.size(), "a run that goes on must not be stopped");
    checkIsCompletedBy(*before, caller);
}

// Guards against a copy that is forgotten because its engine once had no room for the run.
TEST(BrokenOffStream, WhenItsRunIsLostAfterItsCopyWasTurnedAway)
{
    before->leaveStopsUnanswered();
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    waitForRejection();
    wait(rejectionDelay);
    before->answerProbes();
    before->run().sendEvent(3);
    CHECK(relay->runUntil([&] { return caller->body.find("id: 3") != std::string::npos; }));
    holder->acceptCopies();
    holder->sendEvents(4, 4);
    before->answerStops({ { 404, "{}" } });
    before->run().reset();
    CHECK(relay->runUntil([&] { return caller->body.find("id: 4") != std::string::npos || caller->isBroken; }));
    CHECK_TEXT(!caller->isBroken, "the stream was broken off");
    CHECK_TEXT(holder->lastRequest().find("Kv-From") != std::string::npos, "the copy must be tried again");
}

// The route allows one more run, and the engine obeys the request to stop the run that the stream returned to.
TEST(BrokenOffStream, WhenOneAttemptIsLeftAndTheHolderOfItsCopyResetsTheConnection)
{
    relay->addRoute("short/stream", RequestKind::EventStream, 2);
    before->leaveStopsUnanswered();
    holder->resetCopies();
    relay->configure();
    relay->list();
    const auto caller = relay->call("/short/stream/1", {});
    CHECK(relay->runUntil([&] { return caller->body.find("id: 2") != std::string::npos; }));
    CHECK(relay->runUntil([&] { return !before->stopped.empty(); }));
    wait(Milliseconds { 20 });
    before->sendEvents(3, 3);
    before->answerStop();
    before->run().close();
    checkIsCompletedBy(*before, caller);
}

TEST(BrokenOffStream, WhenItsEnginesBreakOffInSuccession)
{
    const auto caller = callStream();
    before->answerStops({ { 404, "{}" } });
    before->leaveProbesUnanswered();
    before->run().reset();
    CHECK(relay->runUntil([&] { return holder->hasBegun(); }));
    before->answerProbes();
    before->sendEvents(4, 4);
    holder->answerStops({ { 404, "{}" } });
    holder->sendEvents(4, 4);
    holder->run().reset();
    CHECK(relay->runUntil([&] { return caller->body.find("id: 4") != std::string::npos || caller->isBroken; }));
    CHECK_TEXT(!caller->isBroken, "the stream was broken off");
}

// The VM takes its share of the fixed number of retries only one window after its start.
TEST(BrokenOffStream, WhenItsVmHasJustStarted)
{
    relay->daemon().delayRetrySlack(Milliseconds { 0 });
    before->answerStops({ { 404, "{}" } });
    const auto caller = callStream();
    before->run().reset();
    checkIsCompletedBy(*holder, caller);
}

// Guards against an engine that counts as crashed because it has stopped a run as it was asked to.
TEST(BrokenOffStream, AnEngineThatStopsItsRunBesideASubstituteHasNotCrashed)
{
    start(20, Milliseconds { 10000 });
    before->leaveStopsUnanswered();
    holder->sendEvents(3, 2);
    holder->rejectCopies(rejectionDelay, relay->daemon().ioContext());
    const auto caller = callStream();
    CHECK(relay->runUntil([&] { return holder->runs() > 0; }));
    before->answerProbes();
    wait(Milliseconds { 20 });
    before->run().close();
    before->answerStop();
    wait(Milliseconds { 1500 });
    const auto metrics = relay->daemon().metrics().exposition();
    CHECK_TEXT(metrics.find("evidence=\"connection-broke\"") == std::string::npos, "the engine has obeyed");
}

// Guards against a caller that waits for a retry which comes too late for it.
TEST(BrokenOffStream, EndsAtOnceWhenNoRetryReturnsBeforeItsDeadline)
{
    start(1, Milliseconds { 10000 });
    before->answerStops({ { 404, "{}" } });
    holder->rejectCopies();
    const auto caller = callStream({ { "X-Deadline-Ms", "3000" } });
    const auto& clock = relay->daemon().clock();
    const auto begun = clock.now();
    before->run().reset();
    CHECK(relay->runUntil([&] { return caller->isBroken; }));
    CHECK_TEXT(clock.now() - begun < Milliseconds { 1000 }, "a hopeless stream must end at once");
}
