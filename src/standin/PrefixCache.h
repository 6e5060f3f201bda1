// The stand-in engine's prefix cache: blocks of tokens with least-recently-used eviction.
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

    // Returns the number of tokens in the longest cached prefix, and caches all complete blocks of the sequence.
    std::size_t reuse(const std::vector<TokenId>&);
    void clear();

private:
    void touch(std::uint64_t block);

    std::size_t m_capacity;
    // Most recently used first. The key of a block is the hash of all tokens up to its end.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace lupinknot::internal
