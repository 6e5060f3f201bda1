#include "duty/UsageAggregator.h"

#include <algorithm>

namespace lupinknot::internal {

void UsageAggregator::addReport(const std::string& process, std::uint64_t window, const CountsByOrganisation& counts)
{
    auto& known = m_windows[window][process];
    for (const auto& [organisation, count] : counts)
        known[organisation] = std::max(known[organisation], count);
    while (m_windows.size() > UsageCounts::maxWindows)
        m_windows.erase(m_windows.begin());
}

CountsByOrganisation UsageAggregator::total(std::uint64_t window) const
{
    CountsByOrganisation total;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return total;
    for (const auto& report : found->second) {
        for (const auto& [organisation, count] : report.second)
            total[organisation] += count;
    }
    return total;
}

} // namespace lupinknot::internal
