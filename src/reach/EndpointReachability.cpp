#include "reach/EndpointReachability.h"

#include <algorithm>

namespace lupinknot::internal {

bool EndpointReachability::noteConnection(
    const DirectConnection& connection, std::size_t endpointCount, Milliseconds now)
{
    if (connection.hasConnected) {
        m_failedAt.clear();
        return enter(Reachability::Reachable, now);
    }
    std::erase_if(m_failedAt, [now](const auto& failure) { return now - failure.second > failureWindow; });
    m_failedAt.insert_or_assign(connection.endpointId, now);
    const auto required = std::min(minFailedEndpoints, std::max<std::size_t>(endpointCount, 1));
    if (m_state != Reachability::Reachable || m_failedAt.size() < required)
        return false;
    m_nextCheckAt = now;
    return enter(Reachability::Suspected, now);
}

bool EndpointReachability::isCheckDue(Milliseconds now) const
{
    return m_state != Reachability::Reachable && !m_isChecking && now >= m_nextCheckAt;
}

void EndpointReachability::noteCheckStarted(Milliseconds now)
{
    m_isChecking = true;
    m_nextCheckAt = now + checkInterval;
}

bool EndpointReachability::noteCheck(bool hasConnected, Milliseconds now)
{
    m_isChecking = false;
    if (hasConnected) {
        m_failedAt.clear();
        return enter(Reachability::Reachable, now);
    }
    // A connection may have been established while the check was under way.
    return m_state != Reachability::Reachable && enter(Reachability::Partitioned, now);
}

bool EndpointReachability::enter(Reachability state, Milliseconds now)
{
    if (m_state == state)
        return false;
    m_state = state;
    m_since = now;
    return true;
}

} // namespace lupinknot::internal
