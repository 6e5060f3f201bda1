// Puts the log lines of one request from several VMs in order, with what each VM believed then.
//
//     RequestTrace trace("9c41");
//     trace.read(file1);
//     trace.read(file2);
//     trace.write(std::cout);
//
// Lines of an attempt that the caller made again are included where a VM found out that they belong together.
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

    // Takes the lines of one log; lines that are not events of the log are passed over.
    void read(std::istream&);
    // Writes one line an event, by time. Returns how many lines of the request there were.
    std::size_t write(std::ostream&) const;

private:
    struct Line {
        std::int64_t time { 0 };
        std::string vm;
        std::string event;
        std::string request;
        // The attempt that a caller made before, on lines that tell of it.
        std::string earlierRequest;
        std::string text;
    };

    bool isOfRequest(const Line&) const;
    // The newest line of each belief that a VM held before an instant.
    std::vector<const Line*> beliefsBefore(const std::string& vm, std::int64_t time) const;

    const std::string m_requestId;
    std::vector<Line> m_lines;
};

} // namespace lupinknot::internal
