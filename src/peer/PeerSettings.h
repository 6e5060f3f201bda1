// How the VMs of one cluster find and trust each other.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

struct ClusterSettings {
    std::string name { "lupinknot" };
    // Refuses VMs of other clusters and strangers by mistake. It crosses the network as it is: whoever can listen there
    // can read it.
    std::string secret;
    // Where other VMs reach this one.
    std::string address { "127.0.0.1" };
    std::int64_t port { 0 };
    Milliseconds heartbeatInterval { 200 };
    // A peer that has sent nothing for this long counts as lost.
    Milliseconds silenceTimeout { 1000 };
    Milliseconds reconnectInterval { 100 };
};

struct PeerSettings {
    std::string name;
    std::string zone;
    std::string address;
    std::int64_t port { 0 };
};

} // namespace lupinknot::internal
