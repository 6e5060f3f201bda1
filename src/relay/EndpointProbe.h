// Interface through which a VM asks an endpoint whether it is alive.
//
// Used on the relay's thread only.
#pragma once

#include <functional>
#include <memory>

namespace lupinknot::internal {

class RelayEndpoint;

enum class ProbeResult {
    Answered,
    Unanswered, // A connection was established, but no response arrived in time.
    NotConnected, // No connection was established.
    Inconclusive, // The endpoint may not be asked now, or this VM reaches no endpoint.
};

class EndpointProbe {
public:
    using Callback = std::function<void(ProbeResult)>;

    virtual ~EndpointProbe() = default;
    // Calls back once, possibly before it returns; never after this object is destroyed. An answer has been noted as a
    // sign of life of the endpoint by then.
    virtual void probe(const std::shared_ptr<RelayEndpoint>&, Callback) = 0;
};

} // namespace lupinknot::internal
