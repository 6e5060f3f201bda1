// Simulation of a fleet of VMs that share a retry budget: each keeps its own part, and VMs may lend retries.
//
// Load pattern: one availability zone after the other loses its engines, engines that are full or have restarted under
// another name reject requests, VMs restart, and callers move between zones. Each VM retries as often as its budget
// allows. Where VMs lend retries, some of them also die, freeze or are cut off from the other zones, and answers to
// requests for loans are lost or late.
//
//     const auto outcome = simulateRetries({ .seed = 26, .vmCount = 305 });
//     if (outcome.greatestExcess > 0) ...          // The fleet exceeded the budget in some window.
//     const auto loans = simulateRetries(scenarios.nextWithLoans());
//     if (loans.uncounted > 0) ...                 // Retries were sent that no VM counted.
//
// A pure function of its arguments.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

namespace lupinknot::internal {

// How VMs share the budget.
enum class RetryPooling {
    FixedParts, // Each VM uses its own part only.
    Loans, // A VM that has spent its part asks others for a loan.
    ZoneAccount, // One VM of each zone holds the parts of all VMs of the zone, and is asked for each retry.
};

// A fault in the code, to show that simulations find it.
enum class LoanFault {
    None,
    NotCounted, // The lender does not count the retries that it lends.
    ValidFromArrival, // A loan is valid from the arrival of the answer instead of the moment at which it was asked for.
};

// Parameters of one simulation.
struct RetryScenario {
    std::uint64_t seed { 1 };
    int vmCount { 90 };
    // The sum over all VMs.
    double requestsPerSecond { 46 };
    double runSeconds { 5 };
    int seconds { 60 };
    // Share of a zone's engines that crash when the zone fails, and the interval of zone failures; zones fail in turn.
    double lossShare { 0.95 };
    int lossEverySeconds { 6 };
    // Share of the send attempts that an engine rejects; the VM may retry a rejected request at once.
    double rejectedShare { 0.1 };
    // The same share while the store does not respond and VMs do not know the new names of restarted engines.
    double rejectedShareWhileStoreSilent { 0.4 };
    int silentFromSecond { 18 };
    int silentToSecond { 26 };
    // Share of all runs that VMs try to move preemptively after each zone failure.
    double movedShare { 0.2 };
    // Share of the VMs that restart, and the interval of restarts; a share of 0 means never.
    double restartShare { 0 };
    int restartEverySeconds { 8 };
    // From this second on, the VMs of the first zone receive no requests; their callers use the other zones.
    int zoneLeftAtSecond { 1000 };
    // Factor on the request rate during three of every ten seconds.
    double surge { 1 };

    RetryPooling pooling { RetryPooling::FixedParts };
    // True if the purpose and the rank of a retry matter: the share of streams that can still be in time, which are
    // served first and may be paid by loans. Otherwise all retries have one purpose.
    bool hasPurposes { false };
    double inTimeShare { 0.8 };
    // Share of its part that a VM does not lend; that of RelaySettings if it is empty.
    std::optional<double> loanReserveShare;
    // Share of the VMs that are killed or frozen every two seconds, and for how many seconds at most.
    double killedShare { 0 };
    double frozenShare { 0 };
    int maxAbsentSeconds { 4 };
    // A zone whose VMs cannot reach other zones, and when.
    int cutZone { -1 };
    int cutFromSecond { 10 };
    int cutToSecond { 30 };
    // Shares of the answers to requests for loans that are lost, or late by up to 1.5 s.
    double lostAnswerShare { 0 };
    double lateAnswerShare { 0 };
    LoanFault fault { LoanFault::None };
};

struct RetryOutcome {
    // The greatest excess of retries over the allowed number in any window; negative if no window used up its budget.
    double greatestExcess { 0 };
    int retries { 0 };
    // Retries that the VMs' budgets refused.
    int denied { 0 };
    // Runs lost in zone failures, and those of them for which a retry was sent; the same for streams that can still be
    // in time.
    int lostRuns { 0 };
    int retriedRuns { 0 };
    int lostInTime { 0 };
    int retriedInTime { 0 };
    // Retries sent on loan, and loans that were granted and not used.
    int borrowed { 0 };
    int wastedLoans { 0 };
    // Messages between VMs for the sake of retries; an answer does not count.
    int messages { 0 };
    // Greatest number of retries of a window that the account of a VM should contain and did not.
    int uncounted { 0 };
};

RetryOutcome simulateRetries(const RetryScenario&);

// A reproducible sequence of simulation parameters: fleets of 6 to 340 VMs with varied loads and faults.
class RetryScenarios {
public:
    // The seeds are 1, 2, 3, ...
    RetryScenario next();
    // The same load for 6 to 1,000 VMs that lend retries, with faults of VMs, links and answers.
    RetryScenario nextWithLoans();
    // The load of the target deployments (docs/LOAD.md): 74 to 88 VMs whose engines of one zone after the other fail
    // every 3 to 7 s, without other faults.
    RetryScenario nextOfDeployment();

private:
    std::uint64_t m_seed { 0 };
    std::mt19937 m_random { 5 };
};

} // namespace lupinknot::internal
