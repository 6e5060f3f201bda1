// The decisions about retries on loan, and simulations of fleets that lend them.
#include "model/RetryModel.h"
#include "relay/RelaySettings.h"
#include "relay/RetryBudget.h"
#include "retries/LoanSearch.h"

#include <numeric>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

const LenderAccount account { .part = 9, .spent = 0, .reserveShare = 0.25, .mostUrgentRank = 0 };

int lendableOf(LenderAccount lender, RetryPurpose purpose, unsigned rank = 0)
{
    int lent = 0;
    for (; decideLoan(lender, purpose, rank) == LoanDecision::Lent; ++lent)
        ++lender.spent;
    return lent;
}

constexpr Milliseconds start { 100000 };

} // namespace

TEST_GROUP(RetryLoans)
{
    RelaySettings settings;
    std::mt19937 random { 1 };

    void setup() override { settings.retrySlackShare = 0.1; }

    LenderRounds rounds(std::size_t ownZone, std::size_t otherZone, const std::set<std::size_t>& skipped = {})
    {
        std::vector<std::size_t> own(ownZone);
        std::iota(own.begin(), own.end(), 0);
        std::vector<std::size_t> others(otherZone);
        std::iota(others.begin(), others.end(), ownZone);
        return chooseLenders(
            own, others, [&](std::size_t vm) { return skipped.count(vm) > 0; }, random);
    }
};

// Guards against a VM that has lent so much that its own streams end when its engines fail next.
TEST(RetryLoans, ALenderKeepsItsReserve)
{
    LONGS_EQUAL(6, lendableOf(account, RetryPurpose::Continuation));
    LenderAccount small = account;
    small.part = 1.5;
    LONGS_EQUAL_TEXT(0, lendableOf(small, RetryPurpose::Continuation), "the reserve is one retry at least");
}

TEST(RetryLoans, RestartsLeaveAShareForContinuations)
{
    LONGS_EQUAL(5, lendableOf(account, RetryPurpose::Restart));
    for (const auto purpose : { RetryPurpose::Failover, RetryPurpose::LateStream, RetryPurpose::Proactive })
        CHECK(decideLoan(account, purpose, 0) == LoanDecision::NotForPurpose);
}

TEST(RetryLoans, TheLastQuarterIsLentToTheMostUrgentRankOnly)
{
    LONGS_EQUAL(5, lendableOf(account, RetryPurpose::Continuation, 2));
    RetryBudget budget(settings);
    budget.noteRequest(start, 2);
    CHECK_TEXT(budget.decideLoan(RetryPurpose::Continuation, 2, start) == LoanDecision::Lent,
        "without a more urgent request, rank 2 is the most urgent one");
    int lent = 0;
    budget.noteRequest(start, 0);
    while (budget.lend(RetryPurpose::Continuation, 2, start) == LoanDecision::Lent)
        ++lent;
    CHECK(budget.lend(RetryPurpose::Continuation, 0, start) == LoanDecision::Lent);
    const auto later = start + Milliseconds { 5001 };
    CHECK_TEXT(budget.decideLoan(RetryPurpose::Continuation, 2, later) != LoanDecision::KeptForUrgent,
        "an urgent rank that is no longer seen must not block the others");
    CHECK(lent > 0);
}

// Guards against a VM that restarts with loans out: it does not know of them.
TEST(RetryLoans, AVmThatHasJustStartedLendsNothing)
{
    settings.retrySlackStartsAt = start + Milliseconds { 1 };
    RetryBudget budget(settings);
    for (int i = 0; i < 100; ++i)
        budget.noteRequest(start);
    CHECK(budget.lend(RetryPurpose::Continuation, 0, start) == LoanDecision::JustStarted);
    CHECK(budget.lend(RetryPurpose::Continuation, 0, settings.retrySlackStartsAt) == LoanDecision::Lent);
}

// Guards against a retry that is counted by nobody: the borrower may send it up to the validity after the grant.
TEST(RetryLoans, ALentRetryCountsForTheWindowAndTheValidityAndCannotBeGivenBack)
{
    RetryBudget budget(settings);
    CHECK(budget.lend(RetryPurpose::Continuation, 0, start) == LoanDecision::Lent);
    budget.giveBack();
    const auto end = start + settings.retryWindow + settings.loanValidity;
    LONGS_EQUAL(1, budget.spent(end));
    LONGS_EQUAL(0, budget.spent(end + Milliseconds { 1 }));
}

TEST(RetryLoans, LateStreamsLeaveAPartForThoseThatCanBeInTime)
{
    RetryBudget budget(settings);
    int late = 0;
    while (budget.take(RetryPurpose::LateStream, start, start))
        ++late;
    CHECK(late > 0);
    CHECK(budget.take(RetryPurpose::Continuation, start, start));
}

// Guards against streams with a copy of their run that are ended after a zone failure because restarts and late streams
// have used up the VM's retries.
TEST(RetryLoans, StreamsLostBeforeTheirFirstEventLeaveRetriesToContinuations)
{
    RetryBudget budget(settings);
    for (int i = 0; i < 10; ++i)
        budget.noteRequest(start);
    int late = 0;
    int restarts = 0;
    int continuations = 0;
    while (budget.take(RetryPurpose::LateStream, start, start))
        ++late;
    while (budget.take(RetryPurpose::Restart, start, start))
        ++restarts;
    while (budget.take(RetryPurpose::Continuation, start, start))
        ++continuations;
    CHECK(late > 0);
    CHECK(restarts > 0);
    CHECK_TEXT(4 * continuations >= late + restarts + continuations, "a quarter of the part is for continuations");
}

TEST(RetryLoans, AsksPairsOfItsZoneAndThenOneOfAnother)
{
    const auto many = rounds(30, 60);
    LONGS_EQUAL(4, many.size());
    std::set<std::size_t> asked;
    for (std::size_t i = 0; i < 3; ++i) {
        LONGS_EQUAL(2, many[i].size());
        asked.insert(many[i].begin(), many[i].end());
    }
    LONGS_EQUAL_TEXT(6, asked.size(), "no VM is asked twice");
    CHECK(*asked.rbegin() < 30);
    LONGS_EQUAL(1, many[3].size());
    CHECK(many[3][0] >= 30);
    const auto few = rounds(3, 0, { 1 });
    LONGS_EQUAL(1, few.size());
    CHECK_TEXT(few[0] == std::vector<std::size_t>({ 0, 2 }) || few[0] == std::vector<std::size_t>({ 2, 0 }),
        "VMs that do not answer are skipped");
    CHECK(rounds(0, 0).empty());
}

// Guards against a frozen VM of a pair that holds up the search.
TEST(RetryLoans, ASearchGoesOnWithoutAVmThatDoesNotAnswer)
{
    LoanSearch search({ { 0, 1 }, { 2, 3 } }, {}, start);
    LONGS_EQUAL(2, search.nextRound(start).size());
    search.noteRefusal(0);
    CHECK(search.nextRound(start + Milliseconds { 29 }).empty());
    LONGS_EQUAL(30, (search.nextStepAt() - start).count());
    LONGS_EQUAL(2, search.nextRound(start + Milliseconds { 30 }).size());
    CHECK_FALSE(search.isOver(start + Milliseconds { 119 }));
    CHECK(search.isOver(start + Milliseconds { 120 }));
}

TEST(RetryLoans, ASearchEndsWhenAllHaveRefused)
{
    LoanSearch search({ { 0, 1 } }, {}, start);
    search.nextRound(start);
    search.noteRefusal(0);
    CHECK_FALSE(search.isOver(start));
    search.noteRefusal(1);
    CHECK(search.isOver(start));
}

// Guards against a lender that freezes and answers late: it may no longer count the retry.
TEST(RetryLoans, ALoanIsValidFromTheMomentAtWhichItWasAskedFor)
{
    const LoanSearch search({ { 0 } }, {}, start);
    const auto loan = search.grant(start + Milliseconds { 100 });
    CHECK(loan && loan->isValid(start + Milliseconds { 400 }));
    CHECK_FALSE(loan->isValid(start + Milliseconds { 401 }));
    CHECK_FALSE(search.grant(start + Milliseconds { 401 }).has_value());
}

TEST(RetryLoans, FleetsThatLendStayWithinTheBudgetAndCountEachRetry)
{
    RetryScenarios plays;
    for (int i = 0; i < 60; ++i) {
        const auto play = plays.nextWithLoans();
        const auto outcome = simulateRetries(play);
        CHECK_TEXT(outcome.greatestExcess <= 0 && outcome.uncounted == 0,
            StringFromFormat("seed %d, %d VMs: excess %d, %d uncounted", static_cast<int>(play.seed), play.vmCount,
                static_cast<int>(outcome.greatestExcess), outcome.uncounted)
                .asCharString());
    }
}

// The simulations must notice faults in the code that decides.
TEST(RetryLoans, SimulationsFindALenderThatDoesNotCountAndALoanThatIsValidFromItsArrival)
{
    for (const auto fault : { LoanFault::NotCounted, LoanFault::ValidFromArrival }) {
        RetryScenarios plays;
        int found = 0;
        for (int i = 0; i < 60; ++i) {
            auto play = plays.nextWithLoans();
            play.fault = fault;
            const auto outcome = simulateRetries(play);
            found += outcome.uncounted > 0 || outcome.greatestExcess > 0 ? 1 : 0;
        }
        CHECK_TEXT(found > 0, fault == LoanFault::NotCounted ? "a lender that does not count" : "valid from arrival");
    }
}

// The load that the decisions are designed for. Guards against streams that end for lack of a retry while other VMs of
// the zone have some left.
TEST(RetryLoans, MoreLostRunsGetARetryThanWithFixedParts)
{
    const auto shareInTime = [](RetryPooling pooling) {
        RetryScenarios plays;
        int lost = 0;
        int retried = 0;
        for (int i = 0; i < 15; ++i) {
            auto play = plays.nextOfDeployment();
            play.pooling = pooling;
            const auto outcome = simulateRetries(play);
            lost += outcome.lostInTime;
            retried += outcome.retriedInTime;
        }
        return 100 * retried / lost;
    };
    const auto fixed = shareInTime(RetryPooling::FixedParts);
    const auto loans = shareInTime(RetryPooling::Loans);
    CHECK_TEXT(
        loans >= fixed + 8, StringFromFormat("%d %% with loans, %d %% with fixed parts", loans, fixed).asCharString());
}
