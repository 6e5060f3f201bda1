#include "relay/LocationKeeperChoice.h"

#include <algorithm>
#include <xxhash.h>

namespace lupinknot::internal {

LocationKeepers::LocationKeepers(const std::vector<std::string>& vmNames)
{
    m_keepers.reserve(vmNames.size());
    for (std::size_t i = 0; i < vmNames.size(); ++i)
        m_keepers.push_back({ XXH64(vmNames[i].data(), vmNames[i].size(), 0), i });
    const auto end = m_keepers.begin() + static_cast<std::ptrdiff_t>(std::min(m_keepers.size(), maxLocationKeepers));
    std::partial_sort(
        m_keepers.begin(), end, m_keepers.end(), [](const Keeper& a, const Keeper& b) { return a.hash < b.hash; });
    m_keepers.erase(end, m_keepers.end());
    m_keepers.shrink_to_fit();
}

std::vector<std::size_t> LocationKeepers::choose(const std::string& runKey) const
{
    auto ranked = m_keepers;
    for (auto& keeper : ranked)
        keeper.hash = XXH64(runKey.data(), runKey.size(), keeper.hash);
    std::sort(ranked.begin(), ranked.end(), [](const Keeper& a, const Keeper& b) { return a.hash < b.hash; });
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < std::min(ranked.size(), keepersPerLocation); ++i)
        numbers.push_back(ranked[i].number);
    return numbers;
}

} // namespace lupinknot::internal
