#include "quarantine/ServedRequests.h"

namespace lupinknot::internal {

void ServedRequests::note(const std::string& digest, Milliseconds now)
{
    while (!m_order.empty() && (now - m_order.front().at >= entryLifetime || m_order.size() >= maxEntries)) {
        const auto known = m_servedAt.find(m_order.front().digest);
        if (known != m_servedAt.end() && known->second == m_order.front().at)
            m_servedAt.erase(known);
        m_order.pop_front();
    }
    m_order.push_back({ digest, now });
    m_servedAt[digest] = now;
}

bool ServedRequests::has(const std::string& digest, Milliseconds now) const
{
    const auto served = m_servedAt.find(digest);
    return served != m_servedAt.end() && now - served->second < entryLifetime;
}

} // namespace lupinknot::internal
