#include "relay/RelayContext.h"

#include "admission/StopWindow.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelaySettings.h"
#include "relay/UsageRecorder.h"

namespace lupinknot::internal {

bool RelayContext::has(Policy policy) const { return settings.policies.has(policy); }

bool RelayContext::hasEngines(const std::string& service) const
{
    const auto* found = configuration ? configuration->findService(service) : nullptr;
    return found && found->isEngine;
}

bool RelayContext::mayPassOn(Milliseconds usualTime, Milliseconds at) const
{
    return internal::mayPassOn({ endsAt, settings.vmCount() > 1 }, usualTime, at);
}

void RelayContext::noteStarted(const std::string& organisation, Milliseconds startedAt) const
{
    if (usage)
        usage->noteStarted(organisation, startedAt);
}

} // namespace lupinknot::internal
