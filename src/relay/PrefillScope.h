// Counts a prompt of this VM as being in prefill at an endpoint, for the lifetime of the object. Used on the relay's
// thread only.
#pragma once

#include "relay/RelayEndpoint.h"

namespace lupinknot::internal {

class PrefillScope {
public:
    explicit PrefillScope(std::shared_ptr<RelayEndpoint> endpoint)
        : m_endpoint(std::move(endpoint))
    {
        m_endpoint->prefillStarted();
    }
    ~PrefillScope() { m_endpoint->prefillEnded(); }
    PrefillScope(const PrefillScope&) = delete;
    PrefillScope& operator=(const PrefillScope&) = delete;

private:
    const std::shared_ptr<RelayEndpoint> m_endpoint;
};

} // namespace lupinknot::internal
