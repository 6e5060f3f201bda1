// Counts the requests that wait in this VM, so that what they hold stays within bounds.
//
// Load pattern: a surge of callers while nothing can be served. Each waiting request holds a connection and its body; a
// VM has some 160 MB for everything.
//
//     if (room.enter(bytes)) ...                              // room.leave(bytes) once it waits no more.
//
// Not thread-safe.
#pragma once

#include <cstddef>

namespace lupinknot::internal {

class WaitingRequestLimit {
public:
    // A small VM serves some hundred requests a second, and none waits longer than two seconds on usual routes.
    static constexpr std::size_t mostRequests = 256;
    // A tenth of the memory of a small VM, 160 MB.
    static constexpr std::size_t mostBytes = 16U << 20U;

    // Returns whether there was room.
    bool enter(std::size_t bytes);
    void leave(std::size_t bytes);
    std::size_t count() const { return m_count; }

private:
    std::size_t m_count { 0 };
    std::size_t m_bytes { 0 };
};

} // namespace lupinknot::internal
