// Counts a prompt of this VM as being in prefill at an endpoint, and among the prompts that wait for their first event
// if it has a priority, for the lifetime of the object. Used on the relay's thread only.
#pragma once

#include "admission/PromptMix.h"
#include "relay/RelayEndpoint.h"
#include <optional>

namespace lupinknot::internal {

class PrefillScope {
public:
    PrefillScope(std::shared_ptr<RelayEndpoint> endpoint, const std::shared_ptr<PromptMix>& mix,
        std::optional<unsigned> priority)
        : m_endpoint(std::move(endpoint))
    {
        if (priority)
            m_mixScope.emplace(mix, *priority);
        m_endpoint->prefillStarted();
    }
    ~PrefillScope() { m_endpoint->prefillEnded(); }
    PrefillScope(const PrefillScope&) = delete;
    PrefillScope& operator=(const PrefillScope&) = delete;

private:
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    std::optional<PromptMix::Scope> m_mixScope;
};

} // namespace lupinknot::internal
