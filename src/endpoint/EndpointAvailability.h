// The time at which an endpoint that accepts no requests at present accepts one again.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct EndpointAvailability {
    Milliseconds at { 0 };
    // True if the endpoint is in back-off until then (Retry-After); false if the request waits for a permit.
    bool isAfterBackOff { false };
};

} // namespace lupinknot::internal
