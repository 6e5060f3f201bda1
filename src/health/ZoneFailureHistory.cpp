#include "health/ZoneFailureHistory.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lupinknot::internal {

namespace {

constexpr double millisecondsInSecond = 1000;

using LastFailures = std::map<std::string, Milliseconds>;

// The positions that the zone shares with those whose last failure is as long ago: the first one and their number.
struct Positions {
    std::size_t first { 0 };
    std::size_t count { 0 };
};

Positions positionsOf(const std::string& zone, const std::vector<std::string>& zones, const LastFailures& last)
{
    const auto lastOf = [&last](const std::string& name) {
        const auto found = last.find(name);
        return found == last.end() ? std::nullopt : std::optional(found->second);
    };
    const auto own = lastOf(zone);
    Positions positions;
    for (const auto& other : zones) {
        // A zone that has never failed orders first.
        const auto at = lastOf(other);
        positions.first += at < own;
        positions.count += at == own;
    }
    return positions;
}

} // namespace

bool ZoneFailureHistory::add(const std::string& zone, Milliseconds at)
{
    const bool isKnown = std::any_of(m_failures.begin(), m_failures.end(), [&](const Failure& failure) {
        return failure.zone == zone && std::chrono::abs(failure.at - at) < sameFailureWithin;
    });
    const bool isRetracted = std::any_of(m_retracted.begin(), m_retracted.end(), [&](const Failure& failure) {
        return failure.zone == zone && std::chrono::abs(failure.at - at) <= sameInstantWithin;
    });
    const bool isTooOld = m_failures.size() >= maxFailures && at < m_failures.front().at;
    if (isKnown || isRetracted || isTooOld)
        return false;
    const auto later = std::upper_bound(m_failures.begin(), m_failures.end(), at,
        [](Milliseconds instant, const Failure& failure) { return instant < failure.at; });
    m_failures.insert(later, { zone, at });
    if (m_failures.size() > maxFailures)
        m_failures.erase(m_failures.begin());
    return true;
}

void ZoneFailureHistory::retract(const std::string& zone, Milliseconds at)
{
    std::erase_if(m_failures, [&](const Failure& failure) {
        return failure.zone == zone && std::chrono::abs(failure.at - at) <= sameInstantWithin;
    });
    m_retracted.push_back({ zone, at });
    if (m_retracted.size() > maxRetracted)
        m_retracted.pop_front();
}

std::vector<double> ZoneFailureHistory::positionCounts(const std::vector<std::string>& zones) const
{
    std::vector<double> counts(zones.size(), 0);
    LastFailures last;
    for (const auto& failure : m_failures) {
        // Failures of zones that the service no longer has say nothing about the others.
        if (std::find(zones.begin(), zones.end(), failure.zone) == zones.end())
            continue;
        const auto positions = positionsOf(failure.zone, zones, last);
        if (positions.count == 1)
            counts[positions.first] += 1;
        last[failure.zone] = failure.at;
    }
    return counts;
}

double ZoneFailureHistory::evidence(const std::vector<std::string>& zones) const
{
    const auto counts = positionCounts(zones);
    const auto zoneCount = static_cast<double>(zones.size());
    double sum = 0;
    double logOfRatio = std::lgamma(zoneCount);
    for (const auto count : counts) {
        sum += count;
        logOfRatio += std::lgamma(count + 1);
    }
    return std::exp(logOfRatio - std::lgamma(sum + zoneCount) + sum * std::log(zoneCount));
}

std::vector<double> ZoneFailureHistory::shares(const std::vector<std::string>& zones) const
{
    const auto zoneCount = static_cast<double>(zones.size());
    std::vector<double> shares(zones.size(), 1 / std::max(zoneCount, 1.0));
    if (zones.size() < 2 || evidence(zones) < minEvidence)
        return shares;
    const auto counts = positionCounts(zones);
    double sum = zoneCount;
    for (const auto count : counts)
        sum += count;
    LastFailures last;
    for (const auto& failure : m_failures)
        last[failure.zone] = failure.at;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto positions = positionsOf(zones[i], zones, last);
        shares[i] = 0;
        for (std::size_t k = 0; k < positions.count; ++k)
            shares[i] += (counts[positions.first + k] + 1) / sum / static_cast<double>(positions.count);
    }
    return shares;
}

double ZoneFailureHistory::rate(Milliseconds now) const
{
    if (m_failures.size() < 2)
        return 0;
    const auto span = static_cast<double>((m_failures.back().at - m_failures.front().at).count());
    const auto mean = span / static_cast<double>(m_failures.size() - 1);
    // An interval far longer than the mean shows that failures have become rarer or have ended.
    const auto sinceLast = static_cast<double>((now - m_failures.back().at).count());
    return millisecondsInSecond / std::max({ mean, sinceLast - mean, 1.0 });
}

std::vector<double> ZoneFailureHistory::risks(const std::vector<std::string>& zones, Milliseconds now) const
{
    auto risks = shares(zones);
    const auto failuresPerSecond = rate(now);
    for (auto& risk : risks)
        risk *= failuresPerSecond;
    return risks;
}

} // namespace lupinknot::internal
