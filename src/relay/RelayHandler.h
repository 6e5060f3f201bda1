// Admits a caller's request: determines its route and organisation, and starts the call that serves it.
//
// A request that arrives before the VM has its configuration and its endpoints waits for a short time; see
// admission/StartupWait. Used on the relay's thread only.
#pragma once

#include "relay/RelayRefusal.h"
#include "relay/StartupQueue.h"
#include <memory>

namespace lupinknot::internal {

class HttpExchange;
struct CallerFields;
struct RelayRequest;

class RelayHandler {
public:
    explicit RelayHandler(RelayContext&);
    void handle(const std::shared_ptr<HttpExchange>&);
    // Processes the waiting requests again, after the VM has received its configuration or its endpoints.
    void processWaitingRequests() { m_startupQueue.release(); }

private:
    class UndecidedRequest;

    void serveOrWait(const StartupQueue::Request&);
    void serve(const StartupQueue::Request&);
    // The rank of a request that has not been admitted yet.
    RequestRank rankOf(const StartupQueue::Request&, const CallerFields&) const;
    // Completes the request with its route, service and deadline. Returns the reason to refuse it, if there is one.
    std::optional<RefusalReason> admit(RelayRequest&) const;
    void refuse(const RelayRequest&, RefusalReason);

    RelayContext& m_context;
    const Milliseconds m_startedAt;
    StartupQueue m_startupQueue;
};

} // namespace lupinknot::internal
