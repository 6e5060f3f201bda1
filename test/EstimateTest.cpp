#include "relay/Estimate.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Estimate)
{
    Estimate estimate { 75 };

    void addRange(int first, int last)
    {
        for (int i = first; i <= last; ++i)
            estimate.add(i, Milliseconds { i });
    }
};

TEST(Estimate, ReturnsTheDefaultUntilThereAreEnoughSamples)
{
    addRange(1, static_cast<int>(Estimate::minSamples) - 1);
    CHECK_FALSE(estimate.isKnown());
    DOUBLES_EQUAL(75, estimate.quantile(0.5), 0);
    addRange(1, 1);
    CHECK(estimate.isKnown());
    DOUBLES_EQUAL(9, estimate.quantile(1), 0);
}

TEST(Estimate, ReturnsQuantilesOfTheSamples)
{
    addRange(1, 41);
    DOUBLES_EQUAL(1, estimate.quantile(0), 0);
    DOUBLES_EQUAL(21, estimate.quantile(0.5), 0);
    DOUBLES_EQUAL(39, estimate.quantile(0.95), 0);
    DOUBLES_EQUAL(41, estimate.quantile(1), 0);
}

TEST(Estimate, KeepsOnlyTheNewestSamples)
{
    addRange(1, static_cast<int>(Estimate::maxSamples) + 100);
    DOUBLES_EQUAL(101, estimate.quantile(0), 0);
    LONGS_EQUAL(Estimate::maxSamples, estimate.sampleCount());
    LONGS_EQUAL(static_cast<int>(Estimate::maxSamples) + 100, estimate.newestAt().count());
}

TEST(Estimate, IgnoresInvalidSamples)
{
    addRange(1, 10);
    for (const double wrong : { 0.0, -5.0, std::nan(""), static_cast<double>(INFINITY) })
        estimate.add(wrong, Milliseconds { 99 });
    LONGS_EQUAL(10, estimate.sampleCount());
    DOUBLES_EQUAL(10, estimate.quantile(1), 0);
}

TEST(Estimate, ClampsTheShare)
{
    addRange(1, 10);
    DOUBLES_EQUAL(1, estimate.quantile(-1), 0);
    DOUBLES_EQUAL(10, estimate.quantile(7), 0);
}
