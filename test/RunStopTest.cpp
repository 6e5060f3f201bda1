#include "relay/RunStop.h"
#include "RelayHarness.h"
#include "WorkingEngine.h"
#include "relay/CallProtocol.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RunStopResult) {};

TEST(RunStopResult, ARunWhoseMemoryTheEngineKeepsHasStopped)
{
    CHECK(runStopResultOf({ MoveRunStatus::Copied, true, "h1" }) == RunStopResult::Stopped);
    CHECK(runStopResultOf({ MoveRunStatus::Copied, true, "" }) == RunStopResult::Stopped);
    CHECK(runStopResultOf({ MoveRunStatus::Rejected, false, "h1" }) == RunStopResult::Stopped);
}

TEST(RunStopResult, AnUnknownRunDoesNotWork)
{
    CHECK(runStopResultOf({ MoveRunStatus::UnknownRun, false, "" }) == RunStopResult::NotRunning);
}

TEST(RunStopResult, OtherAnswersLeaveTheRunUndecided)
{
    CHECK(runStopResultOf({ MoveRunStatus::Busy, false, "" }) == RunStopResult::Pending);
    CHECK(runStopResultOf({ MoveRunStatus::Rejected, false, "" }) == RunStopResult::Pending);
    CHECK(runStopResultOf({ MoveRunStatus::Other, false, "" }) == RunStopResult::Pending);
}

TEST_GROUP(RunStop) { RelayHarness relay; };

// Guards against a run that works on because the connection of the only request to stop it was reset.
TEST(RunStop, AsksAgainWhenItsConnectionsAreReset)
{
    constexpr unsigned resets = 3;
    relay.useCopyingService();
    relay.addRoute("stream", RequestKind::EventStream, 5);
    relay.settings.probeTimeout = Milliseconds { 20 };
    WorkingEngine before;
    WorkingEngine holder;
    before.sendEvents(1, 2);
    before.ignoreClose();
    holder.sendEvents(3, 3);
    holder.answerProbes();
    auto& endpoint = relay.addEndpoint("e1", "a");
    endpoint.onRequest([&](ScriptedConnection& asker, const std::string& request) { before.handle(asker, request); });
    relay.addEndpoint("e2", "b").onRequest(
        [&](ScriptedConnection& asker, const std::string& request) { holder.handle(asker, request); });
    relay.configure();
    relay.list();
    const auto caller = relay.call("/stream/1");
    CHECK(relay.runUntil([&] { return caller->body.find("id: 2") != std::string::npos; }));
    endpoint.resetNext(resets);
    before.run().reset();
    CHECK_TEXT(relay.runUntil([&] { return !before.stopped.empty(); }), "the engine was not asked to stop the run");
    CHECK(relay.runUntil([&] { return holder.hasBegun(); }));
}
