#include "admission/RetryWait.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RetryWait)
{
    static constexpr Milliseconds now { 1000 };
    static constexpr Milliseconds wholePartFrom { 3000 };
};

TEST(RetryWait, AStreamWaitsForTheRetryOfItsPurposeOrOfTheWholePart)
{
    CHECK(earliestRetry({ Milliseconds { 2000 }, now, wholePartFrom }) == Milliseconds { 2000 });
    CHECK(earliestRetry({ Milliseconds { 9000 }, now, wholePartFrom }) == wholePartFrom);
    CHECK(earliestRetry({ Milliseconds { 9000 }, Milliseconds { 5000 }, wholePartFrom }) == Milliseconds { 5000 });
}

TEST(RetryWait, APartThatIsTooSmallForThePurposeMayBeLargeEnoughAsAWhole)
{
    CHECK(earliestRetry({ std::nullopt, now, wholePartFrom }) == wholePartFrom);
}

TEST(RetryWait, NothingReturnsToAPartThatAllowsNoRetry)
{
    CHECK_FALSE(earliestRetry({ std::nullopt, std::nullopt, wholePartFrom }).has_value());
}

TEST(RetryWait, AStreamThatCannotBeCompletedInTimeEnds)
{
    CHECK(mayWaitForRetry(Milliseconds { 2000 }, Milliseconds { 500 }, Milliseconds { 2500 }));
    CHECK_FALSE(mayWaitForRetry(Milliseconds { 2000 }, Milliseconds { 501 }, Milliseconds { 2500 }));
}
