// Bounds the memory of all requests that a process receives or holds, and decides which request is refused.
//
// Load pattern: a crowd of callers sends requests up to the limits of a single one and leaves them incomplete, beside
// callers whose requests arrive whole within a short time. When the requests together need more memory than the limit,
// an incomplete one is refused: the one with the largest product of memory and time so far, then the next. The time in
// which an ordinary request arrives is not counted where some request has held its memory for longer, because a large
// one has a large product after a few milliseconds. A request that has arrived whole is never refused later; it may be
// passed on. Small requests have a part of the memory that large ones cannot take, so that whole large requests do not
// lock them out.
//
//     const auto holding = memory->open(now, [] { ... });   // Called when this request is refused for another one.
//     if (!holding->resize(bytes, now)) ...                 // Refused.
//     if (!holding->complete(bytes, now)) ...               // Refused; otherwise kept until it is destroyed.
//
// Does no I/O. Thread-safe. Shared by its owner and its holdings.
#pragma once

#include "common/ByteSizes.h"
#include "lupinknot/Clock.h"
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace lupinknot::internal {

inline constexpr std::size_t defaultRequestMemory = 64 * mebibyte;

// The limit that is in force: a request with the largest body, and the copy that is sent on, always fit into it.
constexpr std::size_t effectiveRequestMemory(std::size_t maxBytes, std::size_t maxBodyBytes)
{
    constexpr std::size_t bodies = 4;
    return std::max(maxBytes, bodies * maxBodyBytes);
}

class RequestMemory : public std::enable_shared_from_this<RequestMemory> {
public:
    // The memory of one request; it is free again when this is destroyed.
    class Holding {
    public:
        ~Holding();
        Holding(const Holding&) = delete;
        Holding& operator=(const Holding&) = delete;

        // Sets the memory of the incomplete request. Returns false when the request is refused, now or earlier.
        bool resize(std::size_t bytes, Milliseconds now);
        // The request has arrived whole and needs this memory from now on. Returns false when it is refused.
        bool complete(std::size_t bytes, Milliseconds now);

    private:
        friend class RequestMemory;
        Holding(std::shared_ptr<RequestMemory>, Milliseconds now, std::function<void()> onRefused);
        // The product of memory and time so far, and what it exceeds that of an ordinary request by.
        std::int64_t costAt(Milliseconds now) const;
        std::int64_t excessAt(Milliseconds now) const;
        // True if the other one is refused first.
        bool isPreferredTo(const Holding& other, Milliseconds now) const;

        const std::shared_ptr<RequestMemory> m_memory;
        const std::function<void()> m_onRefused;
        std::size_t m_bytes { 0 };
        std::int64_t m_cost { 0 };
        Milliseconds m_changedAt;
        bool m_isComplete { false };
        bool m_isRefused { false };
    };

    explicit RequestMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    // The callback is called, on any thread and while other holdings are locked, when another request's growth refuses
    // this one. It must not use a holding.
    std::unique_ptr<Holding> open(Milliseconds now, std::function<void()> onRefused);
    // Applies to the next change of a request.
    void setLimit(std::size_t maxBytes);
    std::size_t limit() const;
    // Memory of all requests, and of those that have arrived whole.
    std::size_t total() const;
    std::size_t completeTotal() const;
    // Number of requests refused so far.
    std::uint64_t refusedCount() const;

private:
    void changeBytes(Holding&, std::size_t bytes, Milliseconds now);
    void refuse(Holding&);
    // Refuses incomplete requests until the others fit.
    void makeRoom(const Holding& growing, Milliseconds now);
    // The memory that complete requests may need together when a request of this size is one of them.
    std::size_t maxComplete(std::size_t bytes) const;

    mutable std::mutex m_mutex;
    std::size_t m_maxBytes;
    std::size_t m_total { 0 };
    std::size_t m_completeTotal { 0 };
    std::uint64_t m_refusedCount { 0 };
    // The incomplete requests that need memory.
    std::unordered_set<Holding*> m_incomplete;
};

} // namespace lupinknot::internal
