// Hears of the other VMs.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot::wire {
class Envelope;
}

namespace lupinknot::internal {

// Who is at the other end, as it said of itself.
struct PeerIdentity {
    std::string vm;
    std::string zone;
    std::uint64_t incarnation { 0 };
    std::string callerAddress;
    std::uint32_t callerPort { 0 };
};

// Calls come from any thread; those about one peer come one at a time and in order.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual void peerUp(const PeerIdentity&) = 0;
    virtual void peerDown(const PeerIdentity&) = 0;
    virtual void peerMessage(const PeerIdentity&, const wire::Envelope&) = 0;
};

} // namespace lupinknot::internal
