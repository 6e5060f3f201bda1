#include "relay/AddressClaim.h"

#include <string_view>
#include <tuple>
#include <unordered_map>

namespace lupinknot::internal {

bool AddressClaim::displaces(const AddressClaim& other) const
{
    if (!isListed || isMisdirected)
        return false;
    if (entry->service == other.entry->service)
        return std::tie(entry->startTime, entry->writtenAt, entry->id)
            > std::tie(other.entry->startTime, other.entry->writtenAt, other.entry->id);
    return isServiceKnown && other.entry->startTime != 0 && entry->startTime > other.entry->startTime;
}

std::vector<bool> AddressClaim::displaced(const std::vector<AddressClaim>& claims)
{
    // The strongest claim of each service, and of all services that may displace endpoints of others.
    std::unordered_map<std::string_view, const AddressClaim*> strongest;
    const AddressClaim* latest = nullptr;
    for (const auto& claim : claims) {
        if (!claim.isListed || claim.isMisdirected)
            continue;
        auto& ofService = strongest[claim.entry->service];
        if (!ofService || claim.displaces(*ofService))
            ofService = &claim;
        if (claim.isServiceKnown && (!latest || claim.entry->startTime > latest->entry->startTime))
            latest = &claim;
    }
    std::vector<bool> result;
    result.reserve(claims.size());
    for (const auto& claim : claims) {
        const auto ofService = strongest.find(claim.entry->service);
        const bool isDisplaced = (ofService != strongest.end() && ofService->second->displaces(claim))
            || (latest && latest->displaces(claim));
        result.push_back(isDisplaced);
    }
    return result;
}

bool AddressClaim::precedes(const AddressClaim& other) const
{
    return std::tie(isServiceKnown, entry->startTime, entry->writtenAt, entry->id)
        > std::tie(other.isServiceKnown, other.entry->startTime, other.entry->writtenAt, other.entry->id);
}

} // namespace lupinknot::internal
