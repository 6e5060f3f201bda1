// Compares, on simulated fleets, how VMs can enforce an endpoint's limit that applies to all of them together.
//
//     LimitStudy [SCENARIOS]
//
// Prints a table without faults for each kind of enforcement, and one with faults for enforcement by a limit keeper, as
// the VMs use it. Then simulates SCENARIOS scenarios with faults (1,000 by default) and lists those that exceed the
// limit.
#include "model/LimitModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::array<std::size_t, 4> vmCounts { 3, 7, 88, 300 };
constexpr std::array<double, 5> limits { 0.2, 1, 2.3, 20, 200 };
constexpr std::uint64_t seedsPerCell = 5;

void printTable(LimitEnforcement enforcement, bool hasFaults)
{
    std::printf("\n%s, %s faults: worst four seconds as a share of the allowed requests / use / calls a second\n",
        std::string(nameIn(limitEnforcementNames, enforcement)).c_str(), hasFaults ? "with" : "without");
    std::printf("%8s %10s", "a second", "demand");
    for (const auto vms : vmCounts)
        std::printf("  %8zu VMs        ", vms);
    std::printf("\n");
    for (const auto limit : limits) {
        for (const bool isUneven : { false, true }) {
            std::printf("%8.1f %10s", limit, isUneven ? "uneven" : "even");
            for (const auto vms : vmCounts) {
                LimitOutcome sum;
                for (std::uint64_t seed = 1; seed <= seedsPerCell; ++seed) {
                    const auto outcome = simulateLimit({ .enforcement = enforcement,
                        .vmCount = vms,
                        .perSecond = limit,
                        .isUneven = isUneven,
                        .hasFaults = hasFaults,
                        .seed = seed });
                    sum.worstShare = std::max(sum.worstShare, outcome.worstShare);
                    sum.use += outcome.use / seedsPerCell;
                    sum.callsPerSecond += outcome.callsPerSecond / seedsPerCell;
                }
                std::printf("  %5.2f %5.2f %8.1f", sum.worstShare, sum.use, sum.callsPerSecond);
            }
            std::printf("\n");
        }
    }
}

void simulateMany(std::uint64_t count)
{
    std::uint64_t exceeded = 0;
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const auto outcome = simulateLimit({ .vmCount = vmCounts.at(seed % vmCounts.size()),
            .perSecond = limits.at(seed / vmCounts.size() % limits.size()),
            .isUneven = seed / 3 % 2 == 0,
            .seed = seed });
        worst = std::max(worst, outcome.worstShare);
        if (outcome.worstExcess > 0) {
            ++exceeded;
            std::printf("seed %llu: %.1f requests more than allowed\n", static_cast<unsigned long long>(seed),
                outcome.worstExcess);
        }
    }
    std::printf("%llu scenarios with faults: %llu exceed the limit, worst four seconds %.2f of the allowed requests\n",
        static_cast<unsigned long long>(count), static_cast<unsigned long long>(exceeded), worst);
}

} // namespace

int main(int argc, char** argv)
{
    for (const auto enforcement : { LimitEnforcement::EvenShare, LimitEnforcement::DemandShares,
             LimitEnforcement::SingleKeeper, LimitEnforcement::BackOff })
        printTable(enforcement, false);
    printTable(LimitEnforcement::SingleKeeper, true);
    simulateMany(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000);
    return 0;
}
