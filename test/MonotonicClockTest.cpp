#include "lupinknot/MonotonicClock.h"

#include <CppUTest/TestHarness.h>
#include <fstream>

using namespace lupinknot;

TEST_GROUP(MonotonicClock) {};

// The time since boot includes the time for which the machine was suspended; the steady clock does not.
TEST(MonotonicClock, CountsTheTimeSinceBootIncludingSuspensions)
{
    const auto sinceBoot = [] {
        double seconds = 0;
        std::ifstream("/proc/uptime") >> seconds;
        return Milliseconds { static_cast<std::int64_t>(seconds * 1000) };
    };
    constexpr Milliseconds rounding { 10 };
    const auto before = sinceBoot();
    const auto now = MonotonicClock().now();
    const auto after = sinceBoot();
    CHECK(now >= before - rounding);
    CHECK(now <= after + rounding);
}

TEST(MonotonicClock, NeverGoesBack)
{
    const MonotonicClock clock;
    auto last = clock.now();
    for (int i = 0; i < 1000; ++i) {
        const auto now = clock.now();
        CHECK(now >= last);
        last = now;
    }
}
