// Simulation of a fleet of VMs whose retry budgets do not communicate.
//
// Load pattern: one availability zone after the other loses its engines, engines that are full or have restarted under
// another name reject requests, VMs restart, and callers move between zones. Each VM retries as often as its budget
// allows.
//
//     const auto outcome = simulateRetries({ .seed = 26, .vmCount = 305 });
//     if (outcome.greatestExcess > 0) ...          // The fleet exceeded the budget in some window.
//
// A pure function of its arguments.
#pragma once

#include <cstdint>
#include <random>

namespace lupinknot::internal {

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
};

struct RetryOutcome {
    // The greatest excess of retries over the allowed number in any window; negative if no window used up its budget.
    double greatestExcess { 0 };
    int retries { 0 };
    // Retries that the VMs' budgets refused.
    int denied { 0 };
};

RetryOutcome simulateRetries(const RetryScenario&);

// A reproducible sequence of simulation parameters: fleets of 6 to 340 VMs with varied loads and faults.
class RetryScenarios {
public:
    // The seeds are 1, 2, 3, ...
    RetryScenario next();

private:
    std::uint64_t m_seed { 0 };
    std::mt19937 m_random { 5 };
};

} // namespace lupinknot::internal
