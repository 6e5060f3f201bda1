#include "relay/RetryBudget.h"
#include "relay/RelaySettings.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RetryBudget)
{
    RelaySettings settings;
    Milliseconds now { 100000 };

    void setup() override
    {
        settings.retryRatio = 0.5;
        settings.retryRatioShare = 1;
        settings.retrySlack = 10;
        settings.retrySlackShare = 0.2;
        settings.rescueDeviations = 0;
    }

    int takeAll(RetryBudget & budget, RetryPurpose purpose = RetryPurpose::Rescue)
    {
        int taken = 0;
        while (taken < 1000 && budget.take(purpose, now))
            ++taken;
        return taken;
    }
};

TEST(RetryBudget, GrantsTheFixedShareBeforeAnyRequest)
{
    RetryBudget budget(settings);
    LONGS_EQUAL(2, takeAll(budget));
}

TEST(RetryBudget, EarnsARatioOfTheRequestsInTheWindow)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 20; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL(12, takeAll(budget));
}

TEST(RetryBudget, ForgetsRequestsAndRetriesAfterTheWindow)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 20; ++i)
        budget.noteRequest(now);
    takeAll(budget);
    now += settings.retryWindow + Milliseconds { 1 };
    LONGS_EQUAL(2, takeAll(budget));
}

TEST(RetryBudget, PrecautionsLeaveAPartForRescues)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 16; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL(6, takeAll(budget, RetryPurpose::Precaution));
    LONGS_EQUAL(4, takeAll(budget, RetryPurpose::Rescue));
}

TEST(RetryBudget, RescuesMayExceedThePartByItsDeviations)
{
    settings.rescueDeviations = 1;
    RetryBudget budget(settings);
    for (int i = 0; i < 14; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL(12, takeAll(budget));
}

TEST(RetryBudget, ARetryThatReachedNoEndpointCanBeGivenBack)
{
    RetryBudget budget(settings);
    LONGS_EQUAL(2, takeAll(budget));
    budget.giveBack();
    LONGS_EQUAL(1, takeAll(budget));
}
