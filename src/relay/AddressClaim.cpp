#include "relay/AddressClaim.h"

#include <tuple>

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

bool AddressClaim::precedes(const AddressClaim& other) const
{
    return std::tie(isServiceKnown, entry->startTime, entry->writtenAt, entry->id)
        > std::tie(other.isServiceKnown, other.entry->startTime, other.entry->writtenAt, other.entry->id);
}

} // namespace lupinknot::internal
