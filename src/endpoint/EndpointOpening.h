// When an endpoint that accepts no requests at present accepts one again.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct EndpointOpening {
    Milliseconds at { 0 };
    // True if the endpoint is in back-off until then (Retry-After); false if the request waits for a permit.
    bool isAfterRest { false };
};

} // namespace lupinknot::internal
