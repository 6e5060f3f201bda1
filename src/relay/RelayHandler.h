// Admits a caller's request: finds its route and organisation, and starts to serve it.
//
// Used on the relay's thread only.
#pragma once

#include "relay/RelayRefusal.h"
#include <memory>

namespace lupinknot::internal {

class HttpExchange;
struct RelayRequest;

class RelayHandler {
public:
    explicit RelayHandler(RelayContext&);
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    // The reason to refuse the request, or nothing when it was completed with its terms.
    std::optional<RefusalReason> admit(RelayRequest&) const;
    void refuse(const RelayRequest&, RefusalReason);

    RelayContext& m_context;
};

} // namespace lupinknot::internal
