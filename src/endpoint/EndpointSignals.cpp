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

bool EndpointSignals::noteLeaving() { return !std::exchange(m_isLeaving, true); }

void EndpointSignals::merge(const EndpointSignals& earlier)
{
    m_backOffUntil = std::max(m_backOffUntil, earlier.m_backOffUntil);
    m_isLeaving = m_isLeaving || earlier.m_isLeaving;
}

} // namespace lupinknot::internal
