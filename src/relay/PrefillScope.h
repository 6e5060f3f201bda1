// Says that an endpoint reads a prompt for this VM, as long as the mark lives. Used on the relay's thread only.
#pragma once

#include "relay/RelayEndpoint.h"

namespace lupinknot::internal {

class PrefillScope {
public:
    explicit PrefillScope(std::shared_ptr<RelayEndpoint> endpoint)
        : m_endpoint(std::move(endpoint))
    {
        m_endpoint->readingStarted();
    }
    ~PrefillScope() { m_endpoint->readingEnded(); }
    PrefillScope(const PrefillScope&) = delete;
    PrefillScope& operator=(const PrefillScope&) = delete;

private:
    const std::shared_ptr<RelayEndpoint> m_endpoint;
};

} // namespace lupinknot::internal
