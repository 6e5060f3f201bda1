// Seeded elections on simulated processes: one leader at a time and no token used twice under faults, a leader most of
// the time, and the checks detect injected defects.
#include "model/LeaseModel.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

namespace {

constexpr std::uint64_t simulations = 20000;
constexpr std::uint64_t simulationsPerDefect = 300;

} // namespace

TEST_GROUP(LeaseModel) {};

TEST(LeaseModel, HasOneLeaderAtATimeUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= simulations; ++seed) {
        const auto outcome = simulateLeases({ .seed = seed });
        STRCMP_EQUAL("", outcome.violation.c_str());
    }
}

TEST(LeaseModel, KeepsOneLeaderWhileNothingFails)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const auto outcome = simulateLeases({ .seed = seed, .hasFaults = false });
        STRCMP_EQUAL("", outcome.violation.c_str());
        LONGS_EQUAL_TEXT(1, outcome.leaders, "the lease changed hands without a failure");
        CHECK_TEXT(outcome.ledShare > 0.9, "no process led for most of the time");
    }
}

TEST(LeaseModel, HasALeaderForMostOfTheTimeUnderFaults)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= simulationsPerDefect; ++seed)
        sum += simulateLeases({ .seed = seed }).ledShare;
    CHECK_TEXT(sum / static_cast<double>(simulationsPerDefect) > 0.4, "elections take too long");
}

TEST(LeaseModel, DetectsEveryInjectedDefect)
{
    for (const auto& defect : leaseDefectNames) {
        if (defect.value == LeaseDefect::None)
            continue;
        std::uint64_t violations = 0;
        for (std::uint64_t seed = 1; seed <= simulationsPerDefect; ++seed)
            violations += simulateLeases({ .seed = seed, .defect = defect.value }).violation.empty() ? 0 : 1;
        CHECK_TEXT(violations > 0, std::string(defect.name).c_str());
    }
}
