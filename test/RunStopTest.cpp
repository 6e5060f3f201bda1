#include "relay/RunStop.h"
#include "relay/CallProtocol.h"

#include <CppUTest/TestHarness.h>

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
