// Bounds the number and total size of the requests that wait in this VM.
//
// Load pattern: a surge of callers while nothing can be served. Each waiting request holds a connection and its body; a
// VM has about 160 MB for everything.
//
//     if (limit.enter(bytes)) ...                             // Call limit.leave(bytes) when the wait ends.
//
// Not thread-safe.
#pragma once

#include <cstddef>

namespace lupinknot::internal {

class WaitingRequestLimit {
public:
    // A small VM serves a few hundred requests a second, and none waits longer than two seconds on usual routes.
    static constexpr std::size_t maxRequests = 256;
    // A tenth of the memory of a small VM, 160 MB.
    static constexpr std::size_t maxBytes = 16U << 20U;

    // Returns false if a bound would be exceeded.
    bool enter(std::size_t bytes);
    void leave(std::size_t bytes);
    std::size_t count() const { return m_count; }

private:
    std::size_t m_count { 0 };
    std::size_t m_bytes { 0 };
};

} // namespace lupinknot::internal
