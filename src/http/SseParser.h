// Parses a stream of server-sent events (SSE).
#pragma once

#include "common/ByteSizes.h"
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot::internal {

struct SseEvent {
    std::string name;
    std::string id;
    std::string data;
};

// Accepts the stream in pieces of any size. Comments, and fields other than those of SseEvent, are skipped. Not
// thread-safe.
class SseParser {
public:
    // Maximum size of an event, in bytes.
    static constexpr std::size_t maxEventBytes = mebibyte;

    // Appends the events that the piece completes. Returns false if an event is too large; the parser must not be used
    // after that.
    bool feed(std::string_view piece, std::vector<SseEvent>& events);

private:
    void processLine(std::string_view line, std::vector<SseEvent>& events);

    std::string m_partialLine;
    SseEvent m_event;
    bool m_hasData { false };
};

} // namespace lupinknot::internal
