#include "relay/LocationKeeperChoice.h"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

struct Ranked {
    std::uint64_t hash;
    std::size_t number;
};

bool isBefore(const Ranked& a, const Ranked& b) { return a.hash < b.hash; }

} // namespace

std::vector<std::size_t> chooseLocationKeepers(const std::string& promptId, const std::vector<std::string>& vmNames)
{
    std::vector<Ranked> ranked;
    ranked.reserve(vmNames.size());
    for (std::size_t i = 0; i < vmNames.size(); ++i)
        ranked.push_back({ XXH64(vmNames[i].data(), vmNames[i].size(), 0), i });
    std::sort(ranked.begin(), ranked.end(), isBefore);
    ranked.resize(std::min(ranked.size(), maxLocationKeepers));
    for (auto& keeper : ranked)
        keeper.hash = XXH64(promptId.data(), promptId.size(), keeper.hash);
    std::sort(ranked.begin(), ranked.end(), isBefore);
    ranked.resize(std::min(ranked.size(), keepersPerLocation));
    std::vector<std::size_t> numbers;
    numbers.reserve(ranked.size());
    for (const auto& keeper : ranked)
        numbers.push_back(keeper.number);
    return numbers;
}

} // namespace lupinknot::internal
