#include "ctl/RequestTrace.h"

#include "ctl/LogReader.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace lupinknot::internal {

namespace {

// Events that change the state of a VM, and the subject of each. The newest event of a subject is the current state.
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> stateEvents { {
    { "process.started", "process" },
    { "config.applied", "configuration" },
    { "store.lost", "store" },
    { "store.regained", "store" },
    { "feed.heard-from-vm", "feed" },
    { "zone.avoided", "zone" },
} };

std::string_view stateSubjectOf(const std::string& event)
{
    for (const auto& [name, subject] : stateEvents) {
        if (name == event)
            return subject;
    }
    return "";
}

} // namespace

RequestTrace::RequestTrace(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void RequestTrace::read(std::istream& log)
{
    readLog(log, [this](const nlohmann::json& event, const std::string& text) {
        m_lines.push_back({ event.value("time_ms", std::int64_t { 0 }), event.value("vm", std::string()),
            event.value("event", std::string()), event.value("request", std::string()),
            event.value("earlier_request", std::string()), text });
    });
}

bool RequestTrace::isOfRequest(const Line& line) const
{
    return line.request == m_requestId || line.earlierRequest == m_requestId;
}

std::vector<const RequestTrace::Line*> RequestTrace::stateBefore(const std::string& vm, std::int64_t time) const
{
    std::map<std::string_view, const Line*> newest;
    for (const auto& line : m_lines) {
        const auto subject = stateSubjectOf(line.event);
        if (subject.empty() || line.vm != vm || line.time > time)
            continue;
        auto& newestLine = newest[subject];
        if (!newestLine || newestLine->time <= line.time)
            newestLine = &line;
    }
    std::vector<const Line*> stateLines;
    stateLines.reserve(newest.size());
    for (const auto& entry : newest)
        stateLines.push_back(entry.second);
    std::sort(stateLines.begin(), stateLines.end(), [](const Line* a, const Line* b) { return a->time < b->time; });
    return stateLines;
}

std::size_t RequestTrace::write(std::ostream& out) const
{
    std::vector<const Line*> requestLines;
    for (const auto& line : m_lines) {
        if (isOfRequest(line))
            requestLines.push_back(&line);
    }
    std::stable_sort(
        requestLines.begin(), requestLines.end(), [](const Line* a, const Line* b) { return a->time < b->time; });
    std::set<std::string> seenVms;
    for (const auto* line : requestLines) {
        if (seenVms.insert(line->vm).second) {
            for (const auto* stateLine : stateBefore(line->vm, line->time))
                out << "  VM state, " << line->time - stateLine->time << " ms old: " << stateLine->text << "\n";
        }
        out << "+" << line->time - requestLines.front()->time << " ms " << line->text << "\n";
    }
    return requestLines.size();
}

} // namespace lupinknot::internal
