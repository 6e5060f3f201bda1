#include "versions/ServiceVersions.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

ServiceVersions::ServiceVersions(Milliseconds streamLifetime)
    : m_streamLifetime(streamLifetime)
{
}

void ServiceVersions::applyHistory(const std::vector<ServiceVersion>& history, Milliseconds now)
{
    m_historyUnknownSince.reset();
    for (const auto& [service, version] : history)
        m_listedAt.insert_or_assign({ service, version }, now);
}

bool ServiceVersions::isHistoryKnown(Milliseconds now) const
{
    return !m_historyUnknownSince || !isRecent(*m_historyUnknownSince, now);
}

void ServiceVersions::followList(Milliseconds maxGap, std::function<void()> requestUpdate)
{
    m_maxGap = maxGap;
    m_requestUpdate = std::move(requestUpdate);
}

void ServiceVersions::noteListAsOf(Milliseconds instant) { m_listAsOf = std::max(m_listAsOf, instant); }

void ServiceVersions::noteListReceived(Milliseconds now)
{
    const auto previous = std::exchange(m_listReceivedAt, now);
    if (m_requestUpdate && previous && now - *previous > m_maxGap)
        awaitHistory(now);
}

void ServiceVersions::requestUpdate() const
{
    if (m_requestUpdate)
        m_requestUpdate();
}

void ServiceVersions::noteHeardOf(const std::string& service, const std::string& version, Milliseconds now)
{
    const auto [known, isNew] = m_listedAt.try_emplace({ service, version }, now);
    if (!isNew && !isRecent(known->second, now))
        known->second = now;
}

void ServiceVersions::noteListed(const std::string& service, const std::string& version, Milliseconds now)
{
    const ServiceVersion listed { service, version };
    const auto known = m_listedAt.find(listed);
    if (known != m_listedAt.end() && isRecent(known->second, now)) {
        known->second = now;
        return;
    }
    std::erase_if(m_listedAt, [&](const auto& entry) { return !isRecent(entry.second, now); });
    m_listedAt.emplace(listed, now);
    if (m_onNewVersion)
        m_onNewVersion(listed);
}

std::optional<Milliseconds> ServiceVersions::lastListedAt(const std::string& service, const std::string& version) const
{
    const auto found = m_listedAt.find({ service, version });
    return found == m_listedAt.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> ServiceVersions::onlyVersion(const std::string& service, Milliseconds now) const
{
    if (!isHistoryKnown(now))
        return std::nullopt;
    const auto versions = versionsOf(service, now);
    return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

std::vector<std::string> ServiceVersions::versionsOf(const std::string& service, Milliseconds now) const
{
    std::vector<std::string> versions;
    for (auto known = m_listedAt.lower_bound({ service, "" }); known != m_listedAt.end(); ++known) {
        if (known->first.service != service)
            break;
        if (isRecent(known->second, now))
            versions.push_back(known->first.version);
    }
    return versions;
}

std::vector<ServiceVersion> ServiceVersions::recent(Milliseconds now) const
{
    std::vector<ServiceVersion> versions;
    for (const auto& [known, listedAt] : m_listedAt) {
        if (isRecent(listedAt, now))
            versions.push_back(known);
    }
    return versions;
}

} // namespace lupinknot::internal
