#include "health/ZoneFailureDetector.h"

#include "common/NameHash.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// Upper bounds on what is remembered; messages of other VMs must not fill the memory.
constexpr std::size_t maxZones = 256;
constexpr std::size_t maxFailures = 1024;

} // namespace

FailureEvidence commonEvidence(std::vector<FailureEvidence> shown, std::size_t count)
{
    std::sort(shown.begin(), shown.end(), std::greater<>());
    return count == 0 || count > shown.size() ? FailureEvidence::Silent : shown[count - 1];
}

std::vector<ZoneFailureDetector::Failure> ZoneFailureDetector::failuresAround(const Zone& zone, Milliseconds instant)
{
    std::vector<Failure> near;
    for (const auto& [id, failure] : zone.failures) {
        if (std::chrono::abs(failure.at - instant) <= window)
            near.push_back(failure);
    }
    std::sort(near.begin(), near.end(), [](const Failure& a, const Failure& b) { return a.at < b.at; });
    std::size_t bestFirst = 0;
    std::size_t bestEnd = 0;
    for (std::size_t first = 0, end = 0; first < near.size() && near[first].at <= instant; ++first) {
        while (end < near.size() && near[end].at - near[first].at <= window)
            ++end;
        if (end - first > bestEnd - bestFirst) {
            bestFirst = first;
            bestEnd = end;
        }
    }
    return { near.begin() + static_cast<std::ptrdiff_t>(bestFirst),
        near.begin() + static_cast<std::ptrdiff_t>(bestEnd) };
}

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
    std::erase_if(zone.failures, [now](const auto& entry) { return now - entry.second.at > 2 * minInterval; });
    if (zone.failures.size() >= maxFailures)
        return std::nullopt;
    // Other VMs see the same failure of an endpoint somewhat later.
    auto& known = zone.failures.try_emplace(failure.endpointId, Failure { at, failure.evidence }).first->second;
    known.at = std::chrono::abs(known.at - at) <= window ? std::min(known.at, at) : std::max(known.at, at);
    known.evidence = std::max(known.evidence, failure.evidence);
    const auto together = failuresAround(zone, known.at);
    if (together.size() < threshold(listed) || isDeclared(failure.service, failure.zone, now))
        return std::nullopt;
    zone.declaredAt = now;
    std::vector<FailureEvidence> shown;
    for (const auto& each : together)
        shown.push_back(each.evidence);
    return ZoneFailure { failure.service, failure.zone, together.front().at, now, together.size(),
        commonEvidence(std::move(shown), threshold(listed)) };
}

bool ZoneFailureDetector::makeRoom(const std::pair<std::string, std::string>& key, Milliseconds now)
{
    if (m_zones.size() < maxZones || m_zones.contains(key))
        return true;
    std::erase_if(m_zones, [now](const auto& entry) {
        const auto& [failures, declaredAt] = entry.second;
        const bool isQuiet = std::all_of(failures.begin(), failures.end(),
            [now](const auto& failure) { return now - failure.second.at > 2 * minInterval; });
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
