#include "relay/EventSplitter.h"

#include <charconv>
#include <optional>

namespace lupinknot::internal {

namespace {

std::string_view withoutLineEnd(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

// The value of an `id` line, or nothing for other lines.
std::optional<std::string_view> idValue(std::string_view line)
{
    constexpr std::string_view name = "id:";
    if (line.substr(0, name.size()) != name)
        return std::nullopt;
    auto value = line.substr(name.size());
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

} // namespace

bool EventSplitter::feed(std::string_view piece, std::vector<CompleteEvent>& events)
{
    m_pending.append(piece);
    for (;;) {
        const auto lineEnd = m_pending.find('\n', m_lineStart);
        if (lineEnd == std::string::npos)
            return m_pending.size() <= maxEventBytes;
        const auto line = withoutLineEnd(std::string_view(m_pending).substr(m_lineStart, lineEnd - m_lineStart));
        m_lineStart = lineEnd + 1;
        if (line.empty() && !processBlock(lineEnd + 1, events))
            return false;
    }
}

bool EventSplitter::processBlock(std::size_t end, std::vector<CompleteEvent>& events)
{
    const auto block = std::string_view(m_pending).substr(m_blockStart, end - m_blockStart);
    std::optional<std::string_view> id;
    for (std::size_t start = 0; start < block.size();) {
        const auto lineEnd = block.find('\n', start);
        if (const auto value = idValue(withoutLineEnd(block.substr(start, lineEnd - start))))
            id = value;
        start = lineEnd + 1;
    }
    if (!id) {
        m_blockStart = end;
        return true;
    }
    CompleteEvent event;
    const auto parsed = std::from_chars(id->data(), id->data() + id->size(), event.id);
    if (parsed.ec != std::errc() || parsed.ptr != id->data() + id->size())
        return false;
    event.bytes = m_pending.substr(0, end);
    events.push_back(std::move(event));
    m_pending.erase(0, end);
    m_blockStart = 0;
    m_lineStart = 0;
    return true;
}

} // namespace lupinknot::internal
