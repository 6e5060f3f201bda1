// The structured event log: one line with a JSON object on standard output for each decision.
//
//     LogEvent("request.done").text("request", id).number("status", 200).write();
//
// This writes `{"time_ms":...,"vm":"edge-1","event":"request.done","request":"9c41","status":200}`; docs/LOGS.md lists
// the events. A writer thread takes the lines from a bounded queue, so that a slow or blocked reader of standard output
// does not delay the threads that log. The number of lines per second is limited separately for each LogImportance.
// Lines dropped by this limit are counted, and a "log.dropped" event reports the counts at most once a second.
// Thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lupinknot::internal {

enum class LogImportance {
    Routine, // Events of every request.
    Notable, // Failures, changes in the VM's view of endpoints and peers, start and stop.
};

// Starts the writer thread. Lines written before this call, or in programs that never make it, are dropped.
void startEventLog(const std::string& vmName);
// Waits until the lines logged so far are written, but only for a short time.
void stopEventLog();

// Builds one line. Not thread-safe; write() must be the last call.
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
    bool m_isEnabled;
};

} // namespace lupinknot::internal
