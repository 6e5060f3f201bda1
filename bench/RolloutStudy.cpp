// Simulates many rollouts and prints, for each fault of a candidate version and each request rate, how many were
// decided wrongly.
//
//     RolloutStudy [SCENARIOS_PER_ROW [VMS [FIRST_SEED]]]

#include "model/RolloutModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace {

using namespace lupinknot::internal;

struct Row {
    int wrong { 0 };
    int undecided { 0 };
    int violations { 0 };
    unsigned violationSeed { 0 };
    std::vector<int> excess;
    std::vector<std::int64_t> afterFifty;
    std::vector<std::int64_t> decidedAfter;
};

template <typename T> T quantile(std::vector<T> values, double share)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

Row simulateRow(RolloutScenario scenario, int count, unsigned firstSeed)
{
    Row row;
    for (int i = 0; i < count; ++i) {
        scenario.seed = firstSeed + static_cast<unsigned>(i);
        const auto outcome = simulateRollout(scenario);
        const bool isBad = isBadVersion(scenario.fault);
        row.undecided += outcome.decision == RolloutDecision::Undecided ? 1 : 0;
        row.wrong += outcome.decision == (isBad ? RolloutDecision::Completed : RolloutDecision::RolledBack) ? 1 : 0;
        if (!outcome.violation.empty()) {
            ++row.violations;
            row.violationSeed = scenario.seed;
        }
        row.excess.push_back(100 * outcome.exposed / std::max(outcome.allowedExposure, 1));
        row.afterFifty.push_back(outcome.lastSentAfterFiftyBad.count());
        if (outcome.decision != RolloutDecision::Undecided)
            row.decidedAfter.push_back(outcome.decidedAfter.count());
    }
    return row;
}

} // namespace

int main(int argc, char** argv)
{
    const int count = argc > 1 ? std::atoi(argv[1]) : 200;
    const int vmCount = argc > 2 ? std::atoi(argv[2]) : 90;
    const auto firstSeed = static_cast<unsigned>(argc > 3 ? std::atoi(argv[3]) : 1);
    std::printf("%-24s %8s %6s %9s %7s %6s %13s %13s %14s\n", "candidate", "req/s", "runs", "wrong", "undec.", "broken",
        "exposed% p99", "after50 ms p99", "decided ms p50");
    for (const auto& fault : versionFaultNames) {
        for (const double rate : { 10.0, 46.0, 100.0, 400.0, 1500.0 }) {
            RolloutScenario scenario { .vmCount = vmCount, .requestsPerSecond = rate, .fault = fault.value };
            if (scenario.fault == VersionFault::FlakyBothSides)
                scenario.baselineBadShare = 0.15;
            const auto row = simulateRow(scenario, count, firstSeed);
            std::printf("%-24s %8.0f %6d %9d %7d %6d %13d %13lld %14lld %s\n", std::string(fault.name).c_str(), rate,
                count, row.wrong, row.undecided, row.violations, quantile(row.excess, 0.99),
                static_cast<long long>(quantile(row.afterFifty, 0.99)),
                static_cast<long long>(quantile(row.decidedAfter, 0.5)),
                row.violations ? ("seed " + std::to_string(row.violationSeed)).c_str() : "");
        }
    }
    return 0;
}
