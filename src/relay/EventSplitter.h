// Splits a stream of server-sent events into whole events without changing a byte of them.
//
//     splitter.feed("id: 4\ndata: a\n\nid: 5\nda", events);     // One event, with id 4 and all its bytes.
//
// Bytes that carry no id, such as comments, go with the event after them. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot::internal {

struct WholeEvent {
    std::uint64_t id { 0 };
    std::string bytes;
};

class EventSplitter {
public:
    // An event may not be larger than this, in bytes.
    static constexpr std::size_t maxEventBytes = 1 << 20;

    // Appends the events that the piece completes. Returns false when an event is too large or its id is no number.
    bool feed(std::string_view piece, std::vector<WholeEvent>& events);
    // Bytes of an event that is not whole.
    const std::string& rest() const { return m_pending; }

private:
    // Takes one block that ends with an empty line. Returns false when its id is no number.
    bool takeBlock(std::size_t end, std::vector<WholeEvent>& events);

    std::string m_pending;
    // Where the block that is not whole begins; before it lie blocks without an id.
    std::size_t m_blockStart { 0 };
    std::size_t m_lineStart { 0 };
};

} // namespace lupinknot::internal
