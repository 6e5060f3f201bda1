// Decides which requests a VM that is being stopped still passes on to an endpoint.
//
// Load pattern: a VM that is being stopped accepts requests for some seconds, until the load balancer has noticed, and
// its process ends a few seconds later. A request that is passed on shortly before that is cut while its endpoint works
// on it, and its caller cannot tell whether it has run. Another VM can serve it, so it is refused as long as it has run
// nowhere.
//
//     if (!mayPassOn(window, usualTime, now)) ...          // Refuse it: it has not run.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

struct StopWindow {
    // When the process ends; nothing while no stop has been requested.
    std::optional<Milliseconds> endsAt;
    // Whether another VM can serve what this one refuses.
    bool hasOtherVms { true };
};

// The time that a request needs before the end, as a multiple of the usual time.
inline constexpr int timeNeededBeforeEnd = 2;

// `usualTime` is how long the service usually takes for such a request.
bool mayPassOn(const StopWindow&, Milliseconds usualTime, Milliseconds now);

} // namespace lupinknot::internal
