// Receives events about the other VMs of the cluster.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot::wire {
class Envelope;
}

namespace lupinknot::internal {

// The VM at the other end of a link, as described by its Hello.
struct PeerIdentity {
    std::string vm;
    std::string zone;
    std::uint64_t incarnation { 0 };
    std::string callerAddress;
    std::uint32_t callerPort { 0 };
    // Number of the link in this process, so that the end of an old link is not mistaken for the end of a newer one.
    std::uint64_t link { 0 };
};

// Methods are called on any thread. Calls for one link come one at a time and in order; calls for two links of the same
// peer may overlap or come out of order.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual void peerUp(const PeerIdentity&) = 0;
    virtual void peerDown(const PeerIdentity&) = 0;
    virtual void peerMessage(const PeerIdentity&, const wire::Envelope&) = 0;
};

} // namespace lupinknot::internal
