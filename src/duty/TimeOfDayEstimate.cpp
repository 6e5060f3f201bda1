#include "duty/TimeOfDayEstimate.h"

#include <algorithm>
#include <vector>

namespace lupinknot::internal {

namespace {

// With one sample a second, a jump counts after half a minute.
constexpr std::size_t maxSamples = 61;

} // namespace

void TimeOfDayEstimate::addSample(Milliseconds timeOfDay, Milliseconds now)
{
    m_offsets.push_back(timeOfDay - now);
    if (m_offsets.size() > maxSamples)
        m_offsets.pop_front();
    std::vector<Milliseconds> sorted(m_offsets.begin(), m_offsets.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_offset = *middle;
}

} // namespace lupinknot::internal
