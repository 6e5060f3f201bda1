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
        if (!failure.isAlive && std::chrono::abs(failure.at - instant) <= window)
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

bool ZoneFailureDetector::isSpread(const Key& key, Milliseconds instant, std::size_t zones) const
{
    const auto shareOf = [instant](const Zone& zone) {
        const auto failed = std::count_if(zone.failures.begin(), zone.failures.end(), [instant](const auto& entry) {
            const auto& failure = entry.second;
            return failure.evidence != FailureEvidence::Failed && std::chrono::abs(failure.at - instant) <= window;
        });
        return static_cast<double>(failed) / static_cast<double>(std::max<std::size_t>(zone.counted, 1));
    };
    const auto own = m_zones.find(key);
    const auto limit = own == m_zones.end() ? 0 : minSpread * shareOf(own->second);
    std::size_t silentZones = 0;
    for (const auto& [other, zone] : m_zones)
        silentZones += other.first == key.first && shareOf(zone) > limit;
    return silentZones > 1 && 2 * silentZones > zones;
}

std::optional<RetractionReason> ZoneFailureDetector::contradiction(
    const Key& key, const Zone& zone, Milliseconds instant, FailureEvidence evidence, std::size_t zones) const
{
    std::size_t seen = 0;
    std::size_t alive = 0;
    for (const auto& [id, failure] : zone.failures) {
        if (std::chrono::abs(failure.at - instant) > window)
            continue;
        ++seen;
        alive += failure.isAlive;
    }
    if (seen > 0 && 2 * alive >= seen)
        return RetractionReason::Alive;
    if (evidence != FailureEvidence::Failed && isSpread(key, instant, zones))
        return RetractionReason::Spread;
    return std::nullopt;
}

std::vector<RetractedFailure> ZoneFailureDetector::takeRetractions(
    const std::string& service, std::size_t zones, Milliseconds now)
{
    std::vector<RetractedFailure> retracted;
    for (auto& [key, zone] : m_zones) {
        if (key.first != service || !zone.declared || now - zone.declared->declaredAt > retention)
            continue;
        const auto& declared = *zone.declared;
        const auto reason = contradiction(key, zone, declared.firstFailureAt, declared.evidence, zones);
        if (!reason)
            continue;
        retracted.push_back({ *zone.declared, *reason });
        zone.declared.reset();
        zone.declaredAt.reset();
    }
    return retracted;
}

void ZoneFailureDetector::noteAlive(const EndpointFailure& endpoint, Milliseconds at)
{
    const auto zone = m_zones.find({ endpoint.service, endpoint.zone });
    if (zone == m_zones.end())
        return;
    const auto known = zone->second.failures.find(endpoint.endpointId);
    if (known != zone->second.failures.end() && known->second.at <= at)
        known->second.isAlive = true;
}

std::optional<ZoneFailure> ZoneFailureDetector::noteFailure(
    const EndpointFailure& failure, Milliseconds at, std::size_t listed, Milliseconds now, std::size_t zones)
{
    const Key key { failure.service, failure.zone };
    if (at > now || now - at > minInterval || !isCounted(failure.endpointId, listed))
        return std::nullopt;
    if (!makeRoom(key, now))
        return std::nullopt;
    auto& zone = m_zones[key];
    zone.counted = std::min(listed, sampleSize);
    std::erase_if(zone.failures, [now](const auto& entry) { return now - entry.second.at > retention; });
    if (zone.failures.size() >= maxFailures)
        return std::nullopt;
    // Other VMs see the same failure of an endpoint somewhat later.
    auto& known = zone.failures.try_emplace(failure.endpointId, Failure { at, failure.evidence }).first->second;
    if (std::chrono::abs(known.at - at) <= window) {
        // An endpoint that has answered since is alive, although a VM reports its silence late.
        known.at = std::min(known.at, at);
        known.evidence = std::max(known.evidence, failure.evidence);
    } else if (at > known.at) {
        known = { at, failure.evidence };
    }
    const auto together = failuresAround(zone, known.at);
    if (together.size() < threshold(listed) || isDeclared(failure.service, failure.zone, now))
        return std::nullopt;
    std::vector<FailureEvidence> shown;
    shown.reserve(together.size());
    for (const auto& each : together)
        shown.push_back(each.evidence);
    const auto evidence = commonEvidence(std::move(shown), threshold(listed));
    if (contradiction(key, zone, together.front().at, evidence, zones))
        return std::nullopt;
    zone.declaredAt = now;
    zone.declared = ZoneFailure { failure.service, failure.zone, together.front().at, now, together.size(), evidence };
    return zone.declared;
}

bool ZoneFailureDetector::makeRoom(const Key& key, Milliseconds now)
{
    if (m_zones.size() < maxZones || m_zones.contains(key))
        return true;
    std::erase_if(m_zones, [now](const auto& entry) {
        const auto& zone = entry.second;
        const bool isQuiet = std::all_of(zone.failures.begin(), zone.failures.end(),
            [now](const auto& failure) { return now - failure.second.at > 2 * minInterval; });
        return isQuiet && (!zone.declaredAt || now - *zone.declaredAt > minInterval);
    });
    return m_zones.size() < maxZones;
}

void ZoneFailureDetector::noteRetracted(const std::string& service, const std::string& zone)
{
    if (const auto found = m_zones.find({ service, zone }); found != m_zones.end()) {
        found->second.declared.reset();
        found->second.declaredAt.reset();
    }
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
