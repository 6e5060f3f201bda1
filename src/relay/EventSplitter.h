// Splits a stream of server-sent events into complete events without changing any byte of them.
//
//     splitter.feed("id: 4\ndata: a\n\nid: 5\nda", events);     // One event, with id 4 and all its bytes.
//
// Blocks without an id, such as comments, are passed on together with the event after them. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot::internal {

struct CompleteEvent {
    std::uint64_t id { 0 };
    std::string bytes;
};

class EventSplitter {
public:
    // Maximum size of an event, in bytes.
    static constexpr std::size_t maxEventBytes = 1 << 20;

    // Appends the events that this piece completes. Returns false when an event is too large or its id is not a number.
    bool feed(std::string_view piece, std::vector<CompleteEvent>& events);
    // Bytes of the incomplete last event.
    const std::string& incompleteBytes() const { return m_pending; }

private:
    // Processes one block that ends with an empty line. Returns false when its id is not a number.
    bool processBlock(std::size_t end, std::vector<CompleteEvent>& events);

    std::string m_pending;
    // Offset of the incomplete block; blocks without an id may precede it.
    std::size_t m_blockStart { 0 };
    std::size_t m_lineStart { 0 };
};

} // namespace lupinknot::internal
