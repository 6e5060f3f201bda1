// What the list of endpoints says of one endpoint. An endpoint that starts again gets a new id.
#pragma once

#include "http/SocketAddress.h"
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct EndpointEntry {
    std::string id;
    std::string service;
    SocketAddress address;
    std::string availabilityZone;
    std::uint32_t slots { 1 };
    // True when the endpoint leaves and takes no new work.
    bool isDraining { false };
    // Of its software; empty when unknown.
    std::string version;
};

} // namespace lupinknot::internal
