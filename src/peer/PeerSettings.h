// How the VMs of a cluster find and authenticate each other.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

struct ClusterSettings {
    std::string name { "lupinknot" };
    // Protects against accidental connections from VMs of other clusters and other programs. It is sent in plain text:
    // anyone who can read the network traffic can read it.
    std::string secret;
    // Address and port at which other VMs reach this VM.
    std::string address { "127.0.0.1" };
    std::int64_t port { 0 };
    Milliseconds heartbeatInterval { 200 };
    // Timeout after which a peer that has sent nothing is considered lost.
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
