// What the list of endpoints says of one endpoint. An endpoint that starts again has a new id, or was startTime later.
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
    // The time of day of its start, in milliseconds; 0 when it does not say.
    std::uint64_t startTime { 0 };

    // Names this start of the endpoint.
    std::string incarnationName() const { return startTime == 0 ? id : id + "@" + std::to_string(startTime); }
};

} // namespace lupinknot::internal
