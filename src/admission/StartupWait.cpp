#include "admission/StartupWait.h"

#include <algorithm>

namespace lupinknot::internal {

StartupDecision decideStartup(const StartupState& state, const StartupRequest& request, Milliseconds now)
{
    if (state.hasConfiguration && state.hasEndpoints)
        return { StartupAction::Serve, now };
    auto until = state.startedAt + maxStartupTime;
    if (request.callerTimeout) {
        const auto share = maxStartupWaitShare * static_cast<double>(request.callerTimeout->count());
        until = std::min(until, request.arrivedAt + Milliseconds { static_cast<std::int64_t>(share) });
    }
    if (now < until)
        return { StartupAction::Wait, until };
    // Without endpoints the request may still wait for capacity (WaitForCapacity).
    return { state.hasConfiguration ? StartupAction::Serve : StartupAction::Refuse, now };
}

} // namespace lupinknot::internal
