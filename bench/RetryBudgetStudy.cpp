// Simulates fleets and counts those whose retries exceed the budget that all VMs share.
//
//     RetryBudgetStudy [SCENARIOS [FIRST [KIND [RESERVE]]]]
//
// SCENARIOS is the number of scenarios (10,000 by default), FIRST the seed of the first one (1 by default). KIND is
// "parts" (the default) for VMs that do not communicate, "loans" for VMs that lend retries, "fixed" or "account" for
// the scenarios of "loans" with fixed parts or with one account in each zone, "not-counted" or "from-arrival" for loans
// with a fault in the code (LoanFault). With the prefix "deployment-" the load is that of the target deployments.
// RESERVE is the share of its part that a VM does not lend (that of RelaySettings by default).
//
// The exit code is 1 when a scenario exceeds the budget, or retries were sent that no VM counted.
#include "model/RetryModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace lupinknot::internal;

namespace {

RetryScenario next(RetryScenarios& sequence, std::string_view kind)
{
    if (kind == "parts")
        return sequence.next();
    constexpr std::string_view deploymentPrefix = "deployment-";
    const bool isDeployment = kind.substr(0, deploymentPrefix.size()) == deploymentPrefix;
    auto scenario = isDeployment ? sequence.nextOfDeployment() : sequence.nextWithLoans();
    if (isDeployment)
        kind.remove_prefix(deploymentPrefix.size());
    if (kind == "fixed")
        scenario.pooling = RetryPooling::FixedParts;
    else if (kind == "account")
        scenario.pooling = RetryPooling::ZoneAccount;
    else if (kind == "not-counted")
        scenario.fault = LoanFault::NotCounted;
    else if (kind == "from-arrival")
        scenario.fault = LoanFault::ValidFromArrival;
    return scenario;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t scenarioCount = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    const std::string_view kind = argc > 3 ? argv[3] : "parts";
    RetryScenarios sequence;
    std::uint64_t exceeded = 0;
    double worst = -1e9;
    long retries = 0;
    long denied = 0;
    std::uint64_t uncounted = 0;
    long lost = 0;
    long retried = 0;
    long lostInTime = 0;
    long retriedInTime = 0;
    long borrowed = 0;
    long wasted = 0;
    long messages = 0;
    for (auto scenario = next(sequence, kind); scenario.seed < first + scenarioCount; scenario = next(sequence, kind)) {
        if (scenario.seed < first)
            continue;
        if (argc > 4)
            scenario.loanReserveShare = std::strtod(argv[4], nullptr);
        const auto outcome = simulateRetries(scenario);
        worst = std::max(worst, outcome.greatestExcess);
        retries += outcome.retries;
        denied += outcome.denied;
        lost += outcome.lostRuns;
        retried += outcome.retriedRuns;
        lostInTime += outcome.lostInTime;
        retriedInTime += outcome.retriedInTime;
        borrowed += outcome.borrowed;
        wasted += outcome.wastedLoans;
        messages += outcome.messages;
        uncounted += outcome.uncounted > 0 ? 1 : 0;
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
    std::printf("%llu scenarios with uncounted retries; %ld of %ld lost runs retried, %ld of %ld that can be in time; "
                "%ld retries borrowed, %ld loans wasted, %ld messages\n",
        static_cast<unsigned long long>(uncounted), retried, lost, retriedInTime, lostInTime, borrowed, wasted,
        messages);
    return exceeded == 0 && uncounted == 0 ? 0 : 1;
}
