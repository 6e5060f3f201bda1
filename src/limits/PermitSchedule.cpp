#include "limits/PermitSchedule.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

constexpr double millisecondsPerSecond = 1000;

} // namespace

void PermitSchedule::setRate(double perSecond, Milliseconds now)
{
    const auto interval = millisecondsPerSecond / perSecond;
    const auto nowMilliseconds = static_cast<double>(now.count());
    if (interval < m_interval && m_nextAt > nowMilliseconds)
        m_nextAt = nowMilliseconds + (m_nextAt - nowMilliseconds) * interval / m_interval;
    m_interval = interval;
}

Milliseconds PermitSchedule::waitFor(Milliseconds now) const
{
    const auto wait = m_nextAt - static_cast<double>(now.count());
    return Milliseconds { static_cast<std::int64_t>(std::ceil(std::max(wait, 0.0))) };
}

void PermitSchedule::take(Milliseconds now)
{
    m_nextAt = std::max(m_nextAt, static_cast<double>((now - unusedSlotLifetime).count())) + m_interval;
}

} // namespace lupinknot::internal
