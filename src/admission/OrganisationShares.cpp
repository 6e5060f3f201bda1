#include "admission/OrganisationShares.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

double DecayedCount::at(Milliseconds now) const
{
    const auto halfLives = static_cast<double>((now - m_setAt).count()) / static_cast<double>(halfLife.count());
    return m_value * std::exp2(-std::max(halfLives, 0.0));
}

void DecayedCount::set(double value, Milliseconds now)
{
    m_value = value;
    m_setAt = now;
}

double OrganisationShares::Entry::work(Milliseconds now) const { return std::max(own.at(now), zone.at(now)); }

OrganisationShares::Entry& OrganisationShares::entryFor(const ShareKey& key, Milliseconds now)
{
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return found->second;
    if (m_entries.size() >= maxOrganisations) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [now](const auto& a, const auto& b) { return a.second.work(now) < b.second.work(now); }));
    }
    return m_entries[key];
}

void OrganisationShares::note(const ShareKey& key, double tokens, Milliseconds now)
{
    entryFor(key, now).own.add(tokens, now);
}

void OrganisationShares::setZoneCount(const ShareKey& key, double tokens, Milliseconds now)
{
    entryFor(key, now).zone.set(tokens, now);
}

bool OrganisationShares::isAboveShare(const ShareKey& key, Milliseconds now, double tolerated) const
{
    double total = 0;
    double own = 0;
    std::size_t active = 0;
    for (auto entry = m_entries.lower_bound({ key.service, key.rank, "" });
         entry != m_entries.end() && entry->first.service == key.service && entry->first.rank == key.rank; ++entry) {
        const auto work = entry->second.work(now);
        if (work < minActiveTokens)
            continue;
        total += work;
        ++active;
        if (entry->first.organisation == key.organisation)
            own = work;
    }
    return active > 0 && own > tolerated * total / static_cast<double>(active);
}

std::vector<ShareCount> OrganisationShares::ownCounts(Milliseconds now) const
{
    std::vector<ShareCount> counts;
    for (const auto& [key, entry] : m_entries) {
        if (const auto tokens = entry.own.at(now); tokens >= 1)
            counts.push_back({ key, tokens });
    }
    return counts;
}

} // namespace lupinknot::internal
