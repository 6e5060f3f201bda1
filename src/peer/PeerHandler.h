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
    // Numbers the links of this process, so that the end of an old one is not taken for that of a newer one.
    std::uint64_t link { 0 };
};

// Calls come from any thread; those about one link come one at a time and in order, those about two links of
// one peer may cross.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual void peerUp(const PeerIdentity&) = 0;
    virtual void peerDown(const PeerIdentity&) = 0;
    virtual void peerMessage(const PeerIdentity&, const wire::Envelope&) = 0;
};

} // namespace lupinknot::internal
