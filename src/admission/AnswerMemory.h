// Bounds the memory of all answers that are being received.
//
// Load pattern: an endpoint in trouble sends an answer without end, or several do, beside sound answers of any size.
// When the answers together exceed the limit, the largest one is given up, and then the next, until the others fit. An
// answer without end becomes the largest one, so that smaller ones arrive whole.
//
//     const auto holding = memory->open([] { ... });   // Called when this answer is given up.
//     holding->add(piece.size());
//
// Does no I/O. Not thread-safe. Shared by its owner and its holdings.
#pragma once

#include "common/ByteSizes.h"
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace lupinknot::internal {

inline constexpr std::size_t defaultAnswerMemory = 32 * mebibyte;

class AnswerMemory : public std::enable_shared_from_this<AnswerMemory> {
public:
    // The bytes of one answer; they are free again when it is destroyed.
    class Holding {
    public:
        ~Holding();
        Holding(const Holding&) = delete;
        Holding& operator=(const Holding&) = delete;

        // May give up this answer or others, whose owners may destroy their holdings.
        void add(std::size_t bytes);
        // The same with the bytes that are held now, which may be fewer than before.
        void set(std::size_t bytes);
        std::size_t bytes() const { return m_bytes; }

    private:
        friend class AnswerMemory;
        Holding(std::shared_ptr<AnswerMemory>, std::function<void()> giveUp);

        const std::shared_ptr<AnswerMemory> m_memory;
        // Empty once the answer has been given up.
        std::function<void()> m_giveUp;
        std::size_t m_bytes { 0 };
    };

    explicit AnswerMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    std::unique_ptr<Holding> open(std::function<void()> giveUp);
    // Applies to the next bytes that are added.
    void setLimit(std::size_t maxBytes) { m_maxBytes = maxBytes; }
    std::size_t total() const { return m_total; }

private:
    void giveUpLargest();

    std::size_t m_maxBytes;
    std::size_t m_total { 0 };
    std::unordered_set<Holding*> m_holdings;
};

} // namespace lupinknot::internal
