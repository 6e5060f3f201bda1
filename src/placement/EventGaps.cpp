#include "placement/EventGaps.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr std::size_t shortestShare = 10;

} // namespace

void EventGaps::add(std::size_t events, Milliseconds now)
{
    if (events == 0)
        return;
    m_events += events;
    if (m_lastAt) {
        const auto gap = static_cast<float>((now - *m_lastAt).count()) / static_cast<float>(events);
        for (std::size_t i = 0; i < std::min(events, maxGaps); ++i) {
            if (m_gaps.size() < maxGaps)
                m_gaps.push_back(gap);
            else
                m_gaps[m_next] = gap;
            m_next = (m_next + 1) % maxGaps;
        }
    }
    m_lastAt = now;
}

std::optional<double> EventGaps::shortestTenth() const
{
    if (m_events < minEvents || m_gaps.empty())
        return std::nullopt;
    auto sorted = m_gaps;
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / shortestShare);
    std::nth_element(sorted.begin(), position, sorted.end());
    if (*position <= 0)
        return std::nullopt;
    return *position;
}

} // namespace lupinknot::internal
