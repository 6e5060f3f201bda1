// Compares, in simulations, ways to keep copies of running runs while availability zones fail one after another.
//
//     CopyStudy [SEEDS]
//
// Prints for each way the share of the runs lost in mid-stream that continue from a copy, and what it costs; then the
// effect of the settings of CopyRenewal. Each row is the mean of SEEDS simulations of 60 s (5 by default).
#include "model/CopyModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

std::uint64_t seedCount = 5;

void printRow(const std::string& name, CopyScenario scenario)
{
    CopyOutcome sum;
    double worst = 1;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        scenario.seed = seed;
        const auto outcome = simulateCopies(scenario);
        sum.lost += outcome.lost;
        sum.covered += outcome.covered;
        sum.rejected += outcome.rejected;
        sum.orders += outcome.orders;
        sum.refreshes += outcome.refreshes;
        sum.moves += outcome.moves;
        sum.heldCopies += outcome.heldCopies / static_cast<double>(seedCount);
        worst = std::min(worst, outcome.coveredShare());
    }
    const auto each = [seeds = std::max<std::uint64_t>(seedCount, 1)](
                          std::uint64_t count) { return static_cast<unsigned long>(count / seeds); };
    std::printf("%-44s %6lu %7.3f %7.3f %8lu %8lu %9lu %6lu %6.1f\n", name.c_str(), each(sum.lost), sum.coveredShare(),
        worst, each(sum.rejected), each(sum.orders), each(sum.refreshes), each(sum.moves), sum.heldCopies);
}

void printWays(const char* title, const CopyScenario& base)
{
    std::printf("\n%s\n%-44s %6s %7s %7s %8s %8s %9s %6s %6s\n", title, "way", "lost", "covered", "worst", "rejected",
        "orders", "refreshes", "moves", "held");
    for (const auto upkeep : { CopyUpkeep::None, CopyUpkeep::StopAndCopy, CopyUpkeep::Renewal }) {
        for (const int knownAfter : { 200, 500, 1000, 2000 }) {
            auto scenario = base;
            scenario.upkeep = upkeep;
            scenario.knownAfter = Milliseconds { knownAfter };
            printRow(
                std::string(nameIn(copyUpkeepNames, upkeep)) + ", known after " + std::to_string(knownAfter) + " ms",
                scenario);
        }
    }
}

void printSetting(const char* name, Milliseconds CopyRenewalSettings::*setting, CopyScenario scenario,
    std::initializer_list<int> values)
{
    for (const int value : values) {
        scenario.settings.*setting = Milliseconds { value };
        printRow(std::string(name) + " " + std::to_string(value) + " ms", scenario);
    }
}

void printSettings(const CopyScenario& base)
{
    for (const double interval : { 0.2, 0.4, 2.0 }) {
        auto scenario = base;
        scenario.settings.copyRefreshInterval = interval;
        printRow("copyRefreshInterval " + std::to_string(interval).substr(0, 3) + " of handle-s", scenario);
    }
    printSetting("minTimeLeftForCopy", &CopyRenewalSettings::minTimeLeftForCopy, base, { 0, 500, 1000, 1500, 2500 });
    printSetting("copyOrderSpread", &CopyRenewalSettings::copyOrderSpread, base, { 0, 200, 600, 1200 });
    printSetting("copyRetryInterval", &CopyRenewalSettings::copyRetryInterval, base, { 50, 200, 500 });
    printSetting("copyOrderTimeout", &CopyRenewalSettings::copyOrderTimeout, base, { 500, 1000, 2000 });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1)
        seedCount = std::max<std::uint64_t>(std::strtoull(argv[1], nullptr, 10), 1);
    printWays("zones a, c, b in turn every 3 s, 90% of the engines", {});
    printWays("zones a, c, b in turn every 5 s", { .failureInterval = Milliseconds { 5000 } });
    printWays("a random zone at random times, every 3 s on average", { .isMemoryless = true });
    std::printf("\nsettings, renewal, in turn every 3 s, known after 200 ms\n");
    printSettings({});
    std::printf("\nsettings, renewal, a random zone at random times, known after 200 ms\n");
    printSettings({ .isMemoryless = true });
    return 0;
}
