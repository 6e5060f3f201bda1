// When an endpoint takes a request again that takes none now.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct EndpointAvailability {
    Milliseconds at { 0 };
    // What it waits for: the end of the endpoint's rest, or else a permit.
    bool isAfterBackOff { false };
};

} // namespace lupinknot::internal
