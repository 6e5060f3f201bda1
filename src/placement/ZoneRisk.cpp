#include "placement/ZoneRisk.h"

#include "health/ZoneFailureHistory.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Smaller differences, in failures per second, are rounding errors of equal shares.
constexpr double negligibleExcess = 1e-9;

} // namespace

ZoneRisk::ZoneRisk(const ZoneFailureHistory& history, const std::vector<std::string>& zones, Milliseconds now)
{
    if (zones.empty())
        return;
    const auto risks = history.risks(zones, now);
    const auto lowest = *std::min_element(risks.begin(), risks.end());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto excess = risks[i] - lowest;
        if (excess > negligibleExcess)
            m_excess[zones[i]] = excess;
        m_greatestExcess = std::max(m_greatestExcess, excess);
    }
}

double ZoneRisk::excess(const std::string& zone) const
{
    const auto found = m_excess.find(zone);
    return found == m_excess.end() ? 0 : found->second;
}

double ZoneRisk::surcharge(const std::string& zone, const RunTimes& times) const
{
    return excess(zone) * (times.untilFirstEvent + lossWithCopy * times.afterFirstEvent);
}

double ZoneRisk::relativeExcess(const std::string& zone) const
{
    const auto above = excess(zone);
    return above == 0 ? 0 : above / m_greatestExcess;
}

} // namespace lupinknot::internal
