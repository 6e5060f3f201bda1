#include "relay/RunCopy.h"

#include "relay/EndpointDirectory.h"
#include "relay/StreamRun.h"

namespace lupinknot::internal {

std::shared_ptr<RelayEndpoint> copyHolderOf(const StreamRun& run, const EndpointDirectory& directory)
{
    const auto& ordered = run.copyHolder;
    if (!ordered || !ordered->isRemoved())
        return ordered;
    const auto& entry = ordered->entry();
    if (directory.hasZoneFailedSince(entry.availabilityZone, run.startedAt))
        return ordered;
    const auto present = directory.findAt(entry.service, entry.address);
    return present ? present : ordered;
}

} // namespace lupinknot::internal
