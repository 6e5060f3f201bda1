// Admits a caller's request: finds its route and organisation, and starts to serve it.
//
// A request that comes before the VM knows its configuration and its endpoints waits for them a short while; see
// admission/StartupWait.
// Used on the relay's thread only.
#pragma once

#include "relay/RelayRefusal.h"
#include "relay/StartupQueue.h"
#include <memory>

namespace lupinknot::internal {

class HttpExchange;
struct RelayRequest;

class RelayHandler {
public:
    explicit RelayHandler(RelayContext&);
    void handle(const std::shared_ptr<HttpExchange>&);
    // The VM has learned its configuration or its endpoints: what waits for them is looked at again.
    void newsArrived() { m_startupQueue.release(); }

private:
    void decide(const StartupQueue::Request&);
    void serve(const StartupQueue::Request&);
    // The reason to refuse the request, or nothing when it was completed with its terms.
    std::optional<RefusalReason> admit(RelayRequest&) const;
    void refuse(const RelayRequest&, RefusalReason);

    RelayContext& m_context;
    const Milliseconds m_startedAt;
    StartupQueue m_startupQueue;
};

} // namespace lupinknot::internal
