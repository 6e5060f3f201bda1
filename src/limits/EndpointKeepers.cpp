#include "limits/EndpointKeepers.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <xxhash.h>

namespace lupinknot::internal {

std::vector<std::size_t> chooseEndpointKeepers(
    const std::string& endpoint, const std::vector<KeeperCandidate>& candidates)
{
    const auto seed = XXH64(endpoint.data(), endpoint.size(), 0);
    std::vector<std::size_t> chosen;
    const auto isChosen
        = [&chosen](std::size_t number) { return std::find(chosen.begin(), chosen.end(), number) != chosen.end(); };
    const auto isZoneTaken = [&](std::size_t number) {
        return std::any_of(chosen.begin(), chosen.end(), [&](std::size_t other) {
            return candidates[other].availabilityZone == candidates[number].availabilityZone;
        });
    };
    while (chosen.size() < std::min(keepersPerEndpoint, candidates.size())) {
        std::optional<std::size_t> best;
        std::pair<bool, std::uint64_t> bestRank;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (isChosen(i))
                continue;
            const auto& name = candidates[i].name;
            const std::pair rank { !isZoneTaken(i), XXH64(name.data(), name.size(), seed) };
            if (!best || rank > bestRank) {
                best = i;
                bestRank = rank;
            }
        }
        chosen.push_back(*best);
    }
    return chosen;
}

} // namespace lupinknot::internal
