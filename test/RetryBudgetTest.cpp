#include "relay/RetryBudget.h"
#include "relay/RelaySettings.h"

#include <deque>
#include <numeric>
#include <random>
#include <vector>

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
        settings.retryShare = 1;
        settings.retryShareAfterStart = 1;
        settings.retrySlack = 10;
        settings.retrySlackShare = 0.2;
    }

    // Takes a retry for a request that arrived before the window.
    bool take(RetryBudget & budget, RetryPurpose purpose = RetryPurpose::Failover)
    {
        return budget.take(purpose, now - settings.retryWindow - Milliseconds { 1 }, now);
    }

    int takeAll(RetryBudget & budget, RetryPurpose purpose = RetryPurpose::Failover)
    {
        int taken = 0;
        while (taken < 1000 && take(budget, purpose))
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

TEST(RetryBudget, ProactiveRetriesLeaveAPartForFailovers)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 16; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL(6, takeAll(budget, RetryPurpose::Proactive));
    LONGS_EQUAL(4, takeAll(budget, RetryPurpose::Failover));
}

TEST(RetryBudget, RescuesDoNotExceedThePart)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 14; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL_TEXT(9, takeAll(budget), "a VM must not exceed its part: hundreds of VMs would do the same");
}

TEST(RetryBudget, FractionsOfARetryAddUpOverTheVms)
{
    constexpr int vmCount = 400;
    settings.retrySlackShare = 0.07;
    int taken = 0;
    for (int vm = 0; vm < vmCount; ++vm) {
        settings.vmName = "vm-" + std::to_string(vm);
        RetryBudget budget(settings);
        taken += takeAll(budget);
    }
    CHECK_TEXT(taken > 250 && taken < 310, "400 VMs with 0.7 of a retry each should take about 280");
}

TEST(RetryBudget, TakesNoShareOfTheFixedNumberJustAfterAStart)
{
    settings.retrySlackStartsAt = now + Milliseconds { 1 };
    RetryBudget budget(settings);
    budget.noteRequest(now);
    budget.noteRequest(now);
    LONGS_EQUAL(1, takeAll(budget));
    now = settings.retrySlackStartsAt;
    LONGS_EQUAL(2, takeAll(budget));
}

TEST(RetryBudget, GiveBackRemovesTheOldestRetry)
{
    RetryBudget budget(settings);
    CHECK(take(budget));
    now += settings.retryWindow / 2;
    CHECK(take(budget));
    budget.giveBack();
    now += settings.retryWindow / 2 + Milliseconds { 1 };
    LONGS_EQUAL_TEXT(1, takeAll(budget), "the later retry must still count within the window");
}

// In a fleet of 305 VMs, each had one request more than usual just when it needed retries: the fleet sent 53 retries
// beyond the budget.
TEST(RetryBudget, ARequestDoesNotCountTowardsItsOwnRetries)
{
    settings.retryRatio = 1;
    RetryBudget budget(settings);
    for (int i = 0; i < 5; ++i)
        budget.noteRequest(now);
    int taken = 0;
    while (taken < 100 && budget.take(RetryPurpose::Failover, now, now))
        ++taken;
    LONGS_EQUAL_TEXT(6, taken, "four for the other requests and two of the fixed number");
}

TEST(RetryBudget, EarnsLessJustAfterAStart)
{
    settings.retryRatio = 1;
    settings.retryShareAfterStart = 0.5;
    settings.retrySlackStartsAt = now + Milliseconds { 1 };
    RetryBudget budget(settings);
    for (int i = 0; i < 20; ++i)
        budget.noteRequest(now);
    LONGS_EQUAL(10, takeAll(budget));
    now = settings.retrySlackStartsAt;
    LONGS_EQUAL(12, takeAll(budget));
}

TEST(RetryBudget, ARetryThatReachedNoEndpointCanBeGivenBack)
{
    RetryBudget budget(settings);
    LONGS_EQUAL(2, takeAll(budget));
    budget.giveBack();
    LONGS_EQUAL(1, takeAll(budget));
}

// A plain service was full for seconds, and the calls that waited for capacity were sent again on all 295 VMs. Each VM
// spent what was meant for losses that affect only some of them: 3,969 retries in 10 s for 4,671 requests, where 3,887
// were allowed.
TEST(RetryBudget, AFullServiceDoesNotMakeAFleetExceedItsBudget)
{
    constexpr int vmCount = 295;
    constexpr int seconds = 40;
    settings.retryRatio = 0.8;
    settings.retryShare = 0.9;
    settings.retrySlack = 150;
    settings.retrySlackShare = 1.0 / vmCount;
    std::deque<RetryBudget> vms;
    for (int i = 0; i < vmCount; ++i)
        vms.emplace_back(settings);
    std::mt19937 random(35);
    std::poisson_distribution<int> arrivals(0.08);
    std::vector<int> requests;
    std::vector<int> retries;
    for (int tenth = 0; tenth < 10 * seconds; ++tenth) {
        requests.push_back(0);
        retries.push_back(0);
        for (auto& vm : vms) {
            for (int i = arrivals(random); i > 0; --i) {
                vm.noteRequest(now);
                ++requests.back();
            }
            // Every waiting call retries as often as it may.
            retries.back() += take(vm, RetryPurpose::AfterRejection) ? 1 : 0;
        }
        now += Milliseconds { 100 };
    }
    constexpr int window = 100;
    for (int from = 0; from + window <= 10 * seconds; ++from) {
        const auto sum = [from](const std::vector<int>& counts) {
            return std::accumulate(counts.begin() + from, counts.begin() + from + window, 0);
        };
        CHECK_TEXT(sum(retries) <= 0.8 * sum(requests) + 150, "all VMs together must stay within the budget");
    }
}

// Guards against streams that end because no retry is left although one returns soon.
TEST(RetryBudget, TellsWhenTheNextRetryReturns)
{
    RetryBudget budget(settings);
    const auto before = now - settings.retryWindow - Milliseconds { 1 };
    LONGS_EQUAL(now.count(), budget.availableAt(RetryPurpose::Failover, before, now)->count());
    const auto first = now;
    CHECK(take(budget));
    now += Milliseconds { 100 };
    const auto second = now;
    CHECK(take(budget));
    CHECK_FALSE(take(budget));
    now += Milliseconds { 100 };
    const auto returnsAt = *budget.availableAt(RetryPurpose::Failover, before, now);
    LONGS_EQUAL((first + settings.retryWindow + Milliseconds { 1 }).count(), returnsAt.count());
    // Half of the part is one retry, so that both have to return.
    const auto lateAt = *budget.availableAt(RetryPurpose::LateStream, before, now);
    LONGS_EQUAL((second + settings.retryWindow + Milliseconds { 1 }).count(), lateAt.count());
    now = returnsAt - Milliseconds { 1 };
    CHECK_FALSE(take(budget));
    now = returnsAt;
    CHECK(take(budget));
}

TEST(RetryBudget, NoRetryReturnsToAPartWithoutAny)
{
    settings.retrySlack = 0;
    settings.retryRatio = 0;
    RetryBudget budget(settings);
    CHECK_FALSE(budget.availableAt(RetryPurpose::Failover, now, now).has_value());
}
