#include "relay/RelayContext.h"

#include "relay/RelaySettings.h"

namespace lupinknot::internal {

bool RelayContext::has(Policy policy) const { return settings.policies.has(policy); }

} // namespace lupinknot::internal
