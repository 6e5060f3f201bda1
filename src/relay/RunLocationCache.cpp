#include "relay/RunLocationCache.h"

namespace lupinknot::internal {

RunLocationCache::RunLocationCache(Milliseconds lifetime, std::size_t capacity)
    : m_lifetime(lifetime)
    , m_capacity(capacity)
{
}

void RunLocationCache::put(const std::string& runKey, RunLocation location, Milliseconds now)
{
    m_entries.insert_or_assign(runKey, Entry { std::move(location), now });
    m_insertions.push_back({ runKey, now });
    evictOld(now);
}

void RunLocationCache::remove(const std::string& runKey) { m_entries.erase(runKey); }

const RunLocation* RunLocationCache::find(const std::string& runKey, Milliseconds now) const
{
    const auto found = m_entries.find(runKey);
    return found == m_entries.end() || isExpired(found->second.storedAt, now) ? nullptr : &found->second.location;
}

void RunLocationCache::evictOld(Milliseconds now)
{
    // m_insertions may hold more elements than m_entries, because a stream may be put more than once.
    while (
        !m_insertions.empty() && (m_insertions.size() > m_capacity || isExpired(m_insertions.front().storedAt, now))) {
        const auto& oldest = m_insertions.front();
        const auto found = m_entries.find(oldest.runKey);
        if (found != m_entries.end() && found->second.storedAt == oldest.storedAt)
            m_entries.erase(found);
        m_insertions.pop_front();
    }
}

} // namespace lupinknot::internal
