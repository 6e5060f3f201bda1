#include "admission/AttemptAdmission.h"
#include "admission/RetryPurpose.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(AttemptAdmission)
{
    AttemptState state { Standing::Free, 0, 2, false };
    UnplacedRequest request { { Milliseconds { 0 }, Milliseconds { 2000 }, 0 }, std::nullopt, Milliseconds { 50 }, 0.5,
        RefusalReason::EndpointsBusy };
    const Milliseconds now { 100 };
};

TEST(AttemptAdmission, AllowsFirstAttempt) { CHECK(judgeAttempt(state) == AttemptVerdict::Allowed); }

TEST(AttemptAdmission, DoesNotRepeatNonRepeatableRequestThatMayHaveRun)
{
    state.possibleRuns = 1;
    CHECK(judgeAttempt(state) == AttemptVerdict::RunsSpent);
    state.mayRunAgain = true;
    CHECK(judgeAttempt(state) == AttemptVerdict::Allowed);
    state.possibleRuns = 2;
    CHECK(judgeAttempt(state) == AttemptVerdict::RunsSpent);
}

TEST(AttemptAdmission, ChecksQuarantineBeforeRunLimits)
{
    state.possibleRuns = 2;
    state.standing = Standing::Held;
    CHECK(judgeAttempt(state) == AttemptVerdict::Held);
    state.standing = Standing::UnderJudgement;
    CHECK(judgeAttempt(state) == AttemptVerdict::Undecided);
}

// Callers may be told that a request has not run only if no endpoint can have run it.
TEST(AttemptAdmission, ReportsNotRunOnlyWithoutPossibleRuns)
{
    CHECK(refusalAfter(AttemptVerdict::Held, 0) == RefusalReason::HeldBack);
    CHECK(refusalAfter(AttemptVerdict::Held, 1) == RefusalReason::EndedEndpoints);
    CHECK(refusalAfter(AttemptVerdict::RetriesSpent, 0) == RefusalReason::RetryBudgetSpent);
    CHECK(refusalAfter(AttemptVerdict::RetriesSpent, 1) == RefusalReason::EndpointFailed);
    CHECK(refusalAfter(AttemptVerdict::RunsSpent, 1) == RefusalReason::EndpointFailed);
}

TEST(AttemptAdmission, SeparatesRetriesOfRejectedAndFailedRequests)
{
    for (const auto reason : { RefusalReason::EndpointsBusy, RefusalReason::EndpointsLimited,
             RefusalReason::EndpointsResting, RefusalReason::RetryBudgetSpent })
        CHECK(purposeAfter(reason) == RetryPurpose::FullService);
    for (const auto reason : { RefusalReason::EndpointFailed, RefusalReason::NoEndpoint })
        CHECK(purposeAfter(reason) == RetryPurpose::Rescue);
}

TEST(AttemptAdmission, WaitsForFirstAvailableEndpointIfTimeAllows)
{
    request.opening = EndpointOpening { Milliseconds { 700 }, true };
    const auto soon = waitOrRefuse(request, now);
    CHECK(soon.waits && soon.reason == RefusalReason::EndpointsResting);
    CHECK(soon.pause >= Milliseconds { 600 });
    request.opening->at = Milliseconds { 1500 };
    const auto late = waitOrRefuse(request, now);
    CHECK(!late.waits && late.reason == RefusalReason::EndpointsResting);
}

TEST(AttemptAdmission, RetryDelayAfterBackOffIsSpreadPastItsEnd)
{
    request.opening = EndpointOpening { Milliseconds { 3000 }, true };
    request.lastReason = RefusalReason::EndpointsResting;
    request.spread = 0;
    LONGS_EQUAL(2900, comeBackAfter(request, now).count());
    request.spread = 1;
    LONGS_EQUAL(2900 + retryDelayWhenFull.count(), comeBackAfter(request, now).count());
}

TEST(AttemptAdmission, RefusesStreamAtOnceIfNoEngineIsAvailableInTime)
{
    const Milliseconds waitsUntil { 900 };
    const Milliseconds interval { 40 };
    const auto decide = [&](Milliseconds opensAt, unsigned possibleRuns) {
        return waitOrRefuseStream(EndpointOpening { opensAt, false }, possibleRuns, waitsUntil, interval, now);
    };
    CHECK(decide(Milliseconds { 800 }, 0).waits);
    const auto refused = decide(Milliseconds { 901 }, 0);
    CHECK(!refused.waits && refused.reason == RefusalReason::EndpointsLimited);
    CHECK(decide(Milliseconds { 901 }, 1).waits);
    const auto over = waitOrRefuseStream(std::nullopt, 0, waitsUntil, interval, waitsUntil);
    CHECK(!over.waits && over.reason == RefusalReason::NoEndpoint);
}
