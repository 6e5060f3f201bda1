#include "rollout/Rollouts.h"

namespace lupinknot::internal {

bool Rollouts::begin(const RolloutOrder& order, const RolloutParameters& terms)
{
    auto& rollout = m_byService[order.service];
    if (rollout && rollout->order().position() >= order.position())
        return false;
    rollout = std::make_unique<Rollout>(order, terms);
    return true;
}

Rollout* Rollouts::find(const std::string& service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? nullptr : found->second.get();
}

} // namespace lupinknot::internal
