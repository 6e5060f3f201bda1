#include "endpoint/EndpointSignals.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

bool EndpointSignals::noteRest(Milliseconds time, Milliseconds now)
{
    const auto until = now + time;
    const bool isLonger = until > std::max(m_restsUntil, now);
    m_restsUntil = std::max(m_restsUntil, until);
    return isLonger;
}

bool EndpointSignals::noteLeaving() { return !std::exchange(m_isLeaving, true); }

void EndpointSignals::merge(const EndpointSignals& earlier)
{
    m_restsUntil = std::max(m_restsUntil, earlier.m_restsUntil);
    m_isLeaving = m_isLeaving || earlier.m_isLeaving;
}

} // namespace lupinknot::internal
