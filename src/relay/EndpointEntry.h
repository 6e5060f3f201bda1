// One entry of the endpoint list. An endpoint that restarts has a new id or a later start time.
#pragma once

#include "common/HistoryPosition.h"
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
    // True when the endpoint is shutting down and takes no new work.
    bool isDraining { false };
    // Software version; empty when unknown.
    std::string version;
    // Wall-clock start time in milliseconds; 0 when the entry does not state it.
    std::uint64_t startTime { 0 };
    // When the entry was last written, in the history of the list.
    HistoryPosition writtenAt {};

    // Identifies this incarnation of the endpoint.
    std::string incarnationName() const { return startTime == 0 ? id : id + "@" + std::to_string(startTime); }
};

} // namespace lupinknot::internal
