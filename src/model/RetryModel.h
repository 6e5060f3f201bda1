// A simulated fleet of VMs whose retry budgets know nothing of each other.
//
// Load pattern: engines of one availability zone after the other go, engines that are full or that have started again
// under another name turn requests away, VMs start again, and callers move between zones. Each VM retries as often as
// its budget lets it.
//
//     const auto outcome = playRetries({ .seed = 26, .vmCount = 305 });
//     if (outcome.greatestExcess > 0) ...          // The fleet went beyond the budget in some window.
//
// A pure function of its arguments.
#pragma once

#include <cstdint>
#include <random>

namespace lupinknot::internal {

// What a play consists of.
struct RetryPlay {
    std::uint64_t seed { 1 };
    int vmCount { 90 };
    // All VMs together.
    double requestsPerSecond { 46 };
    double runSeconds { 5 };
    int seconds { 60 };
    // Share of a zone's engines that go when the zone does, every so many seconds; the zones take turns.
    double lossShare { 0.95 };
    int lossEverySeconds { 6 };
    // Share of the sendings that an engine turns away, which may lead to the next one at once.
    double turnedAwayShare { 0.1 };
    // The same while the store is silent and engines that started again have names that no VM knows.
    double turnedAwayWhileSilent { 0.4 };
    int silentFromSecond { 18 };
    int silentToSecond { 26 };
    // Runs that VMs would like to move as a precaution after each loss, as share of all.
    double movedShare { 0.2 };
    // Share of the VMs that start again, every so many seconds; 0 for never.
    double restartShare { 0 };
    int restartEverySeconds { 8 };
    // The zone whose VMs get no requests any more from this second on; their callers go to the others.
    int zoneLeftAtSecond { 1000 };
    // Requests come at this many times the rate, for three seconds out of ten.
    double surge { 1 };
};

struct RetryOutcome {
    // The greatest excess over what the budget allows, over all windows; below 0 where none was used up.
    double greatestExcess { 0 };
    int retries { 0 };
    // Retries that the VMs' budgets did not allow.
    int denied { 0 };
};

RetryOutcome playRetries(const RetryPlay&);

// A sequence of plays, the same each time: fleets of 6 to 340 VMs, loads and troubles of every kind.
class RetryPlays {
public:
    // The seed counts from 1.
    RetryPlay next();

private:
    std::uint64_t m_seed { 0 };
    std::mt19937 m_random { 5 };
};

} // namespace lupinknot::internal
