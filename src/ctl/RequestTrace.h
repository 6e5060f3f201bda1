// Prints the log lines of one request from several VMs in order of time, with the state that each VM had then.
//
//     RequestTrace trace("9c41");
//     trace.read(file1);
//     trace.read(file2);
//     trace.write(std::cout);
//
// Lines of a caller's later attempt are included if they name this request as the earlier one.
// Not thread-safe.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace lupinknot::internal {

class RequestTrace {
public:
    explicit RequestTrace(std::string requestId);

    // Adds the events of one log; other lines are skipped.
    void read(std::istream&);
    // Writes one line per event, sorted by time; the first event of each VM follows the VM's state. Returns the number
    // of the request's events.
    std::size_t write(std::ostream&) const;

private:
    struct Line {
        std::int64_t time { 0 };
        std::string vm;
        std::string event;
        std::string request;
        // The caller's earlier attempt; empty if the event names none.
        std::string earlierRequest;
        std::string text;
    };

    bool isOfRequest(const Line&) const;
    // Returns the newest state event of a VM for each subject, up to `time` in milliseconds.
    std::vector<const Line*> stateBefore(const std::string& vm, std::int64_t time) const;

    const std::string m_requestId;
    std::vector<Line> m_lines;
};

} // namespace lupinknot::internal
