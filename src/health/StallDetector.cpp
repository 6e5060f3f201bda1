#include "health/StallDetector.h"

namespace lupinknot::internal {

std::optional<Milliseconds> StallDetector::noteTick(Milliseconds now)
{
    const auto late = lateness(now);
    m_lastTick = now;
    if (late <= maxLateness)
        return std::nullopt;
    m_lastStallEnd = now;
    return late;
}

} // namespace lupinknot::internal
