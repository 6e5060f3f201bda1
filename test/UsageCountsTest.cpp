#include "duty/UsageCounts.h"
#include "duty/TimeOfDayEstimate.h"
#include "duty/UsageAggregator.h"
#include "duty/UsageSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds windowLength { 5000 };

} // namespace

TEST_GROUP(UsageCounts)
{
    UsageCounts counts { windowLength };
    UsageAggregator aggregator;
};

TEST(UsageCounts, CountByWindowAndOrganisation)
{
    counts.add("museum", Milliseconds { 10'000 });
    counts.add("museum", Milliseconds { 14'999 });
    counts.add("library", Milliseconds { 15'000 });
    LONGS_EQUAL(2, counts.of(2).at("museum"));
    LONGS_EQUAL(1, counts.of(3).at("library"));
    LONGS_EQUAL(0, counts.of(2).count("library"));
}

TEST(UsageCounts, KeepOnlyTheNewestWindows)
{
    for (std::int64_t window = 0; window < 20; ++window)
        counts.add("museum", window * windowLength);
    LONGS_EQUAL(UsageCounts::maxWindows, counts.windows().size());
    CHECK(counts.of(0).empty());
    LONGS_EQUAL(1, counts.of(19).at("museum"));
}

TEST(UsageCounts, AreAddedUpOverProcesses)
{
    aggregator.addReport("vm1/1", 7, { { "museum", 3 } });
    aggregator.addReport("vm2/1", 7, { { "museum", 2 }, { "library", 1 } });
    LONGS_EQUAL(5, aggregator.total(7).at("museum"));
    LONGS_EQUAL(1, aggregator.total(7).at("library"));
}

TEST(UsageCounts, AreNotAddedTwiceWhenAReportIsRepeatedOrLate)
{
    aggregator.addReport("vm1/1", 7, { { "museum", 3 } });
    aggregator.addReport("vm1/1", 7, { { "museum", 3 } });
    aggregator.addReport("vm1/1", 7, { { "museum", 1 } });
    LONGS_EQUAL(3, aggregator.total(7).at("museum"));
}

TEST(UsageCounts, OfARestartedVmAreAddedToThoseOfItsEarlierProcess)
{
    aggregator.addReport("vm1/1", 7, { { "museum", 3 } });
    aggregator.addReport("vm1/2", 7, { { "museum", 1 } });
    LONGS_EQUAL(4, aggregator.total(7).at("museum"));
}

TEST(UsageCounts, AreReportedWindowByWindow)
{
    const UsageSchedule schedule { windowLength, Milliseconds { 10'000 } };
    LONGS_EQUAL(101, schedule.nextWindow(100, Milliseconds { 101 * 5000 }));
    CHECK(schedule.fixAt(101) == Milliseconds { 102 * 5000 + 5000 });
    // Windows that are long overdue are left out.
    LONGS_EQUAL(996, schedule.nextWindow(100, Milliseconds { 1000 * 5000 }));
}

TEST(UsageCounts, FollowNoJumpOfTheTimeOfDay)
{
    TimeOfDayEstimate estimate;
    for (std::int64_t second = 0; second < 20; ++second) {
        const Milliseconds jump { second >= 5 && second < 14 ? 7000 : 0 };
        estimate.addSample(Milliseconds { 1'000'000 + second * 1000 } + jump, Milliseconds { second * 1000 });
    }
    CHECK(estimate.at(Milliseconds { 20'000 }) == Milliseconds { 1'020'000 });
}
