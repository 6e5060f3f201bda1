#include "relay/RunCopy.h"

#include "relay/EndpointDirectory.h"
#include "relay/StreamRun.h"

namespace lupinknot::internal {

std::shared_ptr<RelayEndpoint> copyHolderOf(const StreamRun& run, const EndpointDirectory& directory)
{
    const auto& recorded = run.copyHolder;
    if (!recorded || !recorded->isRemoved())
        return recorded;
    const auto& entry = recorded->entry();
    if (directory.isLostWithZone(*recorded, run.startedAt))
        return recorded;
    const auto current = directory.findAt(entry.service, entry.address);
    return current ? current : recorded;
}

} // namespace lupinknot::internal
