// The stand-in engine's prefix cache: blocks of tokens, the least recently used dropped first.
#pragma once

#include "lupinknot/Token.h"
#include <list>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

// Not thread-safe.
class PrefixCache {
public:
    static constexpr std::size_t blockTokens = 16;

    explicit PrefixCache(std::size_t capacityTokens)
        : m_capacity(capacityTokens / blockTokens)
    {
    }

    // Counts the tokens of the longest cached prefix, and caches all whole blocks of the sequence.
    std::size_t reuse(const std::vector<TokenId>&);
    void clear();

private:
    void touch(std::uint64_t block);

    std::size_t m_capacity;
    // Most recently used first. A block is named by the hash of everything up to its end.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace lupinknot::internal
