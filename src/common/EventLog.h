// The structured log: one JSON object a line on standard output, one line for each decision.
//
//     LogEvent("request.done").text("request", id).number("status", 200).write();
//
// A line reads `{"time_ms":...,"vm":"edge-1","event":"request.done","request":"9c41","status":200}`; docs/LOGS.md lists
// the events. Lines are handed to a thread that writes them, through a bounded queue: a slow or blocked reader of
// standard output delays nobody. The number of lines a second is limited too, failures apart from the rest; what was
// dropped is counted and said once a second. Thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lupinknot::internal {

enum class LogImportance {
    Routine, // What happens to every request.
    Notable, // Failures, changes of belief, start and stop.
};

// Starts the thread that writes; lines before that, and in programs that never call it, are dropped.
void startEventLog(const std::string& vmName);
// Waits a little for the lines so far to be written.
void stopEventLog();

// One line under construction. Not thread-safe; write() is the last call.
class LogEvent {
public:
    explicit LogEvent(std::string_view name, LogImportance = LogImportance::Notable);
    LogEvent& text(std::string_view field, std::string_view value);
    LogEvent& number(std::string_view field, std::int64_t value);
    LogEvent& flag(std::string_view field, bool value);
    void write();

private:
    void beginField(std::string_view field);

    std::string m_line;
    LogImportance m_importance;
    bool m_isWanted;
};

} // namespace lupinknot::internal
