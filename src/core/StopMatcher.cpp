#include "lupinknot/StopMatcher.h"

#include <algorithm>

namespace lupinknot {

StopMatcher::StopMatcher(std::vector<std::string> stops)
    : m_stops(std::move(stops))
{
    for (const auto& stop : m_stops)
        m_longestStopLength = std::max(m_longestStopLength, stop.size());
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
    const auto settled = m_tail.size() - partialMatchLength();
    m_tail.erase(0, settled);
    m_tailOffset += settled;
    return std::nullopt;
}

std::size_t StopMatcher::settledOffset() const { return m_tailOffset; }

std::size_t StopMatcher::partialMatchLength() const
{
    if (!m_longestStopLength)
        return 0;
    for (auto length = std::min(m_longestStopLength - 1, m_tail.size()); length > 0; --length) {
        const auto suffix = std::string_view(m_tail).substr(m_tail.size() - length);
        const auto beginsWithSuffix
            = [suffix](const std::string& stop) { return std::string_view(stop).substr(0, suffix.size()) == suffix; };
        if (std::any_of(m_stops.begin(), m_stops.end(), beginsWithSuffix))
            return length;
    }
    return 0;
}

} // namespace lupinknot
