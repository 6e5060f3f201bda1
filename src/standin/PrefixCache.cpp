#include "standin/PrefixCache.h"

#include <xxhash.h>

namespace lupinknot::internal {

std::size_t PrefixCache::reuse(const std::vector<TokenId>& ids)
{
    std::uint64_t block = 0;
    std::size_t cached = 0;
    bool isPrefixCached = true;
    for (std::size_t start = 0; start + blockTokens <= ids.size(); start += blockTokens) {
        block = XXH3_64bits_withSeed(&ids[start], blockTokens * sizeof(TokenId), block);
        isPrefixCached = isPrefixCached && m_blocks.count(block);
        if (isPrefixCached)
            cached += blockTokens;
        touch(block);
    }
    return cached;
}

void PrefixCache::clear()
{
    m_order.clear();
    m_blocks.clear();
}

void PrefixCache::touch(std::uint64_t block)
{
    if (const auto entry = m_blocks.find(block); entry != m_blocks.end()) {
        m_order.splice(m_order.begin(), m_order, entry->second);
        return;
    }
    m_order.push_front(block);
    m_blocks.emplace(block, m_order.begin());
    if (m_blocks.size() <= m_capacity)
        return;
    m_blocks.erase(m_order.back());
    m_order.pop_back();
}

} // namespace lupinknot::internal
