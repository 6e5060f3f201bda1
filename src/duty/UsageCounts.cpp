#include "duty/UsageCounts.h"

namespace lupinknot::internal {

UsageCounts::UsageCounts(Milliseconds windowLength)
    : m_windowLength(windowLength)
{
}

std::uint64_t UsageCounts::windowAt(Milliseconds timeOfDay) const
{
    return static_cast<std::uint64_t>(timeOfDay / m_windowLength);
}

void UsageCounts::add(const std::string& organisation, Milliseconds timeOfDay)
{
    ++m_windows[windowAt(timeOfDay)][organisation];
    ++m_additions;
    while (m_windows.size() > maxWindows)
        m_windows.erase(m_windows.begin());
}

CountsByOrganisation UsageCounts::of(std::uint64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? CountsByOrganisation {} : found->second;
}

} // namespace lupinknot::internal
