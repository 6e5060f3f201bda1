#include "admission/RequestRank.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr unsigned leastUrgentInTime = 7;
constexpr unsigned latePriority = 8;
constexpr unsigned lessUrgentLatePriority = 9;
// Late answers of less urgent ranks come last.
constexpr unsigned leastUrgentOfLatePriority = 4;
constexpr double delaySpread = 0.25;

} // namespace

RequestRank effectiveRank(std::optional<unsigned> organisationRank, std::optional<unsigned> routeRank)
{
    const auto rank = organisationRank ? organisationRank : routeRank;
    return { rank.value_or(defaultRequestRank), rank.has_value() };
}

unsigned enginePriority(unsigned rank, const AnswerStanding& standing)
{
    if (standing.isLate)
        return rank > leastUrgentOfLatePriority ? lessUrgentLatePriority : latePriority;
    return std::min(rank + (standing.isAboveShare ? 1 : 0), leastUrgentInTime);
}

RequestRank agedRank(const RequestRank& rank, Milliseconds waited, Milliseconds ageingTime)
{
    if (ageingTime <= Milliseconds { 0 } || waited <= Milliseconds { 0 })
        return rank;
    const auto levels = static_cast<unsigned>(std::min<std::int64_t>(waited / ageingTime, leastUrgentRank));
    return { rank.value - std::min(levels, rank.value), rank.isNamed };
}

bool isMoreUrgent(const RankedWait& newcomer, const RankedWait& waiting, Milliseconds now, Milliseconds ageingTime)
{
    if (!newcomer.rank.isNamed && !waiting.rank.isNamed)
        return false;
    return agedRank(newcomer.rank, now - newcomer.since, ageingTime).value
        < agedRank(waiting.rank, now - waiting.since, ageingTime).value;
}

double delayFactor(const RequestRank& rank) { return rank.isNamed ? (rank.value + 5) / 10.0 : 1.0; }

Milliseconds rankedDelay(const RequestRank& rank, Milliseconds delay, double spread)
{
    if (!rank.isNamed)
        return delay;
    const auto factor = delayFactor(rank) * (1 - delaySpread + 2 * delaySpread * spread);
    return Milliseconds { static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor) };
}

} // namespace lupinknot::internal
