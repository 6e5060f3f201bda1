#include "relay/RunLocationCache.h"

namespace lupinknot::internal {

RunLocationCache::RunLocationCache(Milliseconds lifetime, std::size_t capacity)
    : m_lifetime(lifetime)
    , m_capacity(capacity)
{
}

void RunLocationCache::put(const std::string& promptId, RunLocation location, Milliseconds now)
{
    m_entries.insert_or_assign(promptId, Entry { std::move(location), now });
    m_ages.push_back({ promptId, now });
    dropOld(now);
}

void RunLocationCache::remove(const std::string& promptId) { m_entries.erase(promptId); }

const RunLocation* RunLocationCache::find(const std::string& promptId, Milliseconds now) const
{
    const auto found = m_entries.find(promptId);
    return found == m_entries.end() || isExpired(found->second.at, now) ? nullptr : &found->second.location;
}

void RunLocationCache::dropOld(Milliseconds now)
{
    // m_insertions may hold more elements than m_entries, because a prompt may be put more than once.
    while (!m_ages.empty() && (m_ages.size() > m_capacity || isExpired(m_ages.front().at, now))) {
        const auto& oldest = m_ages.front();
        const auto found = m_entries.find(oldest.promptId);
        if (found != m_entries.end() && found->second.at == oldest.at)
            m_entries.erase(found);
        m_ages.pop_front();
    }
}

} // namespace lupinknot::internal
