#include "http/SseParser.h"

namespace lupinknot::internal {

bool SseParser::feed(std::string_view piece, std::vector<SseEvent>& events)
{
    while (!piece.empty()) {
        const auto lineEnd = piece.find('\n');
        const bool isLineComplete = lineEnd != std::string_view::npos;
        m_partialLine.append(piece.substr(0, lineEnd));
        if (m_partialLine.size() + m_event.data.size() > maxEventBytes)
            return false;
        if (!isLineComplete)
            return true;
        std::string_view line = m_partialLine;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        processLine(line, events);
        m_partialLine.clear();
        piece.remove_prefix(lineEnd + 1);
    }
    return true;
}

void SseParser::processLine(std::string_view line, std::vector<SseEvent>& events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
    } else if (name == "id") {
        m_event.id = value;
    } else if (name == "event") {
        m_event.name = value;
    }
}

} // namespace lupinknot::internal
