#include "health/ZoneFailureDetector.h"

#include "common/NameHash.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// Upper bounds on what is remembered; messages of other VMs must not fill the memory.
constexpr std::size_t maxZones = 256;
constexpr std::size_t maxFailures = 1024;

// The failures within the window that contains the instant and the most failures, as the earliest one and their number.
std::pair<Milliseconds, std::size_t> failuresAround(
    const std::map<std::string, Milliseconds>& failures, Milliseconds instant)
{
    std::vector<Milliseconds> near;
    for (const auto& failure : failures) {
        if (std::chrono::abs(failure.second - instant) <= ZoneFailureDetector::window)
            near.push_back(failure.second);
    }
    std::sort(near.begin(), near.end());
    std::pair<Milliseconds, std::size_t> best { instant, 0 };
    for (std::size_t first = 0, end = 0; first < near.size(); ++first) {
        while (end < near.size() && near[end] - near[first] <= ZoneFailureDetector::window)
            ++end;
        if (near[first] <= instant && end - first > best.second)
            best = { near[first], end - first };
    }
    return best;
}

} // namespace

bool ZoneFailureDetector::isCounted(std::string_view endpointId, std::size_t listed)
{
    return listed <= sampleSize
        || fractionOfName(endpointId) * static_cast<double>(listed) < static_cast<double>(sampleSize);
}

std::size_t ZoneFailureDetector::threshold(std::size_t listed)
{
    const auto counted = static_cast<double>(std::min(listed, sampleSize));
    return std::max(minEndpoints, static_cast<std::size_t>(std::ceil(minShare * counted)));
}

std::optional<ZoneFailure> ZoneFailureDetector::noteFailure(
    const EndpointFailure& failure, Milliseconds at, std::size_t listed, Milliseconds now)
{
    const std::pair key { failure.service, failure.zone };
    if (at > now || now - at > minInterval || !isCounted(failure.endpointId, listed))
        return std::nullopt;
    if (!makeRoom(key, now))
        return std::nullopt;
    auto& zone = m_zones[key];
    std::erase_if(zone.failures, [now](const auto& entry) { return now - entry.second > 2 * minInterval; });
    if (zone.failures.size() >= maxFailures)
        return std::nullopt;
    // Other VMs see the same failure of an endpoint somewhat later.
    auto& known = zone.failures.try_emplace(failure.endpointId, at).first->second;
    known = std::chrono::abs(known - at) <= window ? std::min(known, at) : std::max(known, at);
    const auto [first, count] = failuresAround(zone.failures, known);
    if (count < threshold(listed) || isDeclared(failure.service, failure.zone, now))
        return std::nullopt;
    zone.declaredAt = now;
    return ZoneFailure { failure.service, failure.zone, first, now, count };
}

bool ZoneFailureDetector::makeRoom(const std::pair<std::string, std::string>& key, Milliseconds now)
{
    if (m_zones.size() < maxZones || m_zones.contains(key))
        return true;
    std::erase_if(m_zones, [now](const auto& entry) {
        const auto& [failures, declaredAt] = entry.second;
        const bool isQuiet = std::all_of(failures.begin(), failures.end(),
            [now](const auto& failure) { return now - failure.second > 2 * minInterval; });
        return isQuiet && (!declaredAt || now - *declaredAt > minInterval);
    });
    return m_zones.size() < maxZones;
}

void ZoneFailureDetector::noteDeclared(const std::string& service, const std::string& zone, Milliseconds at)
{
    const std::pair key { service, zone };
    if (!makeRoom(key, at))
        return;
    auto& declaredAt = m_zones[key].declaredAt;
    declaredAt = std::max(declaredAt.value_or(at), at);
}

bool ZoneFailureDetector::isDeclared(const std::string& service, const std::string& zone, Milliseconds now) const
{
    const auto found = m_zones.find({ service, zone });
    return found != m_zones.end() && found->second.declaredAt && now - *found->second.declaredAt < minInterval;
}

} // namespace lupinknot::internal
