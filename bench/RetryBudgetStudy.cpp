// Simulates fleets and counts those whose retries exceed the budget that all VMs share.
//
//     RetryBudgetStudy [SCENARIOS [FIRST]]
//
// SCENARIOS is the number of scenarios (10,000 by default), FIRST the seed of the first one (1 by default).
//
// The exit code is 1 when a scenario exceeds the budget.
#include "model/RetryModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace lupinknot::internal;

int main(int argc, char** argv)
{
    const std::uint64_t scenarioCount = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    RetryScenarios sequence;
    std::uint64_t exceeded = 0;
    double worst = -1e9;
    long retries = 0;
    long denied = 0;
    for (auto scenario = sequence.next(); scenario.seed < first + scenarioCount; scenario = sequence.next()) {
        if (scenario.seed < first)
            continue;
        const auto outcome = simulateRetries(scenario);
        worst = std::max(worst, outcome.greatestExcess);
        retries += outcome.retries;
        denied += outcome.denied;
        if (outcome.greatestExcess <= 0)
            continue;
        ++exceeded;
        std::printf("seed %llu: %d VMs, %.0f requests a second, %.0f retries over the budget\n",
            static_cast<unsigned long long>(scenario.seed), scenario.vmCount, scenario.requestsPerSecond,
            outcome.greatestExcess);
    }
    std::printf("%llu of %llu scenarios exceed the budget, worst %.0f, %ld retries sent, %ld denied\n",
        static_cast<unsigned long long>(exceeded), static_cast<unsigned long long>(scenarioCount), worst, retries,
        denied);
    return exceeded == 0 ? 0 : 1;
}
