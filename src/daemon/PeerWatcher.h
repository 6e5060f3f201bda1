// Notified when another VM is lost.
#pragma once

namespace lupinknot::internal {

// Called once, without any lock, from any thread.
class PeerWatcher {
public:
    virtual ~PeerWatcher() = default;
    virtual void peerLost() = 0;
};

} // namespace lupinknot::internal
