#include "lupinknot/StopMatcher.h"

#include <algorithm>

namespace lupinknot {

StopMatcher::StopMatcher(std::vector<std::string> stops)
    : m_stops(std::move(stops))
{
    for (const auto& stop : m_stops)
        m_longest = std::max(m_longest, stop.size());
}

std::optional<std::size_t> StopMatcher::feed(std::string_view piece)
{
    m_tail.append(piece);
    auto earliest = std::string::npos;
    for (const auto& stop : m_stops)
        earliest = std::min(earliest, m_tail.find(stop));
    if (earliest != std::string::npos)
        return m_tailOffset + earliest;

    // Keeps only text that a later piece could complete to a stop string.
    const auto settled = m_tail.size() - heldLength();
    m_tail.erase(0, settled);
    m_tailOffset += settled;
    return std::nullopt;
}

std::size_t StopMatcher::settledOffset() const { return m_tailOffset; }

std::size_t StopMatcher::heldLength() const
{
    if (!m_longest)
        return 0;
    for (auto length = std::min(m_longest - 1, m_tail.size()); length > 0; --length) {
        const auto suffix = std::string_view(m_tail).substr(m_tail.size() - length);
        const auto isBegun
            = [suffix](const std::string& stop) { return std::string_view(stop).substr(0, suffix.size()) == suffix; };
        if (std::any_of(m_stops.begin(), m_stops.end(), isBegun))
            return length;
    }
    return 0;
}

} // namespace lupinknot
