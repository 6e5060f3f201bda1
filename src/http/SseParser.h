// Splits a stream of server-sent events into events.
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

// Takes the stream in pieces of any size. Comments and fields that are not listed above are skipped. Not thread-safe.
class SseParser {
public:
    // An event may not be larger than this, in bytes.
    static constexpr std::size_t maxEventBytes = mebibyte;

    // Appends the events that the piece completes. Returns false when an event is too large; the stream is then of no
    // more use.
    bool feed(std::string_view piece, std::vector<SseEvent>& events);

private:
    void takeLine(std::string_view line, std::vector<SseEvent>& events);

    std::string m_partialLine;
    SseEvent m_event;
    bool m_hasData { false };
};

} // namespace lupinknot::internal
