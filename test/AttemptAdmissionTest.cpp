#include "admission/AttemptAdmission.h"
#include "admission/RetryPurpose.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(AttemptAdmission)
{
    AttemptState state { QuarantineStatus::Free, 0, 2, false };
    UnplacedRequest request { { Milliseconds { 0 }, Milliseconds { 2000 }, 0 }, std::nullopt, Milliseconds { 50 }, 0.5,
        RefusalReason::EndpointsBusy };
    const Milliseconds now { 100 };
};

TEST(AttemptAdmission, AllowsFirstAttempt) { CHECK(decideAttempt(state) == AttemptDecision::Allowed); }

TEST(AttemptAdmission, DoesNotRepeatNonRepeatableRequestThatMayHaveRun)
{
    state.possibleRuns = 1;
    CHECK(decideAttempt(state) == AttemptDecision::RunsSpent);
    state.mayRunAgain = true;
    CHECK(decideAttempt(state) == AttemptDecision::Allowed);
    state.possibleRuns = 2;
    CHECK(decideAttempt(state) == AttemptDecision::RunsSpent);
}

TEST(AttemptAdmission, ChecksQuarantineBeforeRunLimits)
{
    state.possibleRuns = 2;
    state.quarantineStatus = QuarantineStatus::Held;
    CHECK(decideAttempt(state) == AttemptDecision::Held);
    state.quarantineStatus = QuarantineStatus::Pending;
    CHECK(decideAttempt(state) == AttemptDecision::Undecided);
}

// A refusal may state that the request has not run only if no endpoint can have run it.
TEST(AttemptAdmission, ReportsNotRunOnlyWithoutPossibleRuns)
{
    CHECK(refusalAfter(AttemptDecision::Held, 0) == RefusalReason::HeldInQuarantine);
    CHECK(refusalAfter(AttemptDecision::Held, 1) == RefusalReason::CrashedEndpoints);
    CHECK(refusalAfter(AttemptDecision::RetriesSpent, 0) == RefusalReason::RetryBudgetSpent);
    CHECK(refusalAfter(AttemptDecision::RetriesSpent, 1) == RefusalReason::EndpointFailed);
    CHECK(refusalAfter(AttemptDecision::RunsSpent, 1) == RefusalReason::EndpointFailed);
}

TEST(AttemptAdmission, SeparatesRetriesOfRejectedAndFailedRequests)
{
    for (const auto reason : { RefusalReason::EndpointsBusy, RefusalReason::EndpointsLimited,
             RefusalReason::EndpointsInBackOff, RefusalReason::RetryBudgetSpent })
        CHECK(retryPurposeAfter(reason) == RetryPurpose::AfterRejection);
    for (const auto reason : { RefusalReason::EndpointFailed, RefusalReason::NoEndpoint })
        CHECK(retryPurposeAfter(reason) == RetryPurpose::Failover);
}

TEST(AttemptAdmission, WaitsForFirstAvailableEndpointIfTimeAllows)
{
    request.availability = EndpointAvailability { Milliseconds { 700 }, true };
    const auto soon = waitOrRefuse(request, now);
    CHECK(soon.waits && soon.reason == RefusalReason::EndpointsInBackOff);
    CHECK(soon.pause >= Milliseconds { 600 });
    request.availability->at = Milliseconds { 1500 };
    const auto late = waitOrRefuse(request, now);
    CHECK(!late.waits && late.reason == RefusalReason::EndpointsInBackOff);
}

TEST(AttemptAdmission, RetryDelayAfterBackOffIsSpreadPastItsEnd)
{
    request.availability = EndpointAvailability { Milliseconds { 3000 }, true };
    request.lastReason = RefusalReason::EndpointsInBackOff;
    request.spread = 0;
    LONGS_EQUAL(2900, retryDelayAfterRefusal(request, now).count());
    request.spread = 1;
    LONGS_EQUAL(2900 + retryDelayWhenFull.count(), retryDelayAfterRefusal(request, now).count());
}

TEST(AttemptAdmission, RefusesStreamAtOnceIfNoEngineIsAvailableInTime)
{
    const Milliseconds waitsUntil { 900 };
    const Milliseconds interval { 40 };
    const auto decide = [&](Milliseconds opensAt, unsigned possibleRuns) {
        return waitOrRefuseStream(EndpointAvailability { opensAt, false }, possibleRuns, waitsUntil, interval, now);
    };
    CHECK(decide(Milliseconds { 800 }, 0).waits);
    const auto refused = decide(Milliseconds { 901 }, 0);
    CHECK(!refused.waits && refused.reason == RefusalReason::EndpointsLimited);
    CHECK(decide(Milliseconds { 901 }, 1).waits);
    const auto over = waitOrRefuseStream(std::nullopt, 0, waitsUntil, interval, waitsUntil);
    CHECK(!over.waits && over.reason == RefusalReason::NoEndpoint);
}
