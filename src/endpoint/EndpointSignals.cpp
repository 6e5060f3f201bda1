#include "endpoint/EndpointSignals.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

bool EndpointSignals::noteBackOff(Milliseconds time, Milliseconds now)
{
    const auto until = now + time;
    const bool isLonger = until > std::max(m_backOffUntil, now);
    m_backOffUntil = std::max(m_backOffUntil, until);
    return isLonger;
}

bool EndpointSignals::noteShuttingDown() { return !std::exchange(m_isShuttingDown, true); }

void EndpointSignals::merge(const EndpointSignals& earlier)
{
    m_backOffUntil = std::max(m_backOffUntil, earlier.m_backOffUntil);
    m_isShuttingDown = m_isShuttingDown || earlier.m_isShuttingDown;
}

} // namespace lupinknot::internal
