// Probes endpoints with state queries on new connections.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "relay/EndpointProbe.h"
#include <set>

namespace lupinknot::internal {

class HttpRoundTrip;
struct RelayContext;

class StateQueryProbe final : public EndpointProbe {
public:
    // The context must outlive this object.
    explicit StateQueryProbe(RelayContext&);
    ~StateQueryProbe() override;

    void probe(const std::shared_ptr<RelayEndpoint>&, Callback) override;

private:
    RelayContext& m_context;
    std::set<std::shared_ptr<HttpRoundTrip>> m_queries;
};

} // namespace lupinknot::internal
