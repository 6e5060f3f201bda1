// The rollouts in which this VM takes part, one per service.
//
// Used on the relay's thread only. Lives as long as the process.
#pragma once

#include "rollout/Rollout.h"
#include <map>
#include <memory>

namespace lupinknot::internal {

class Rollouts {
public:
    // Begins to take part. A later order for the same service replaces an earlier one. Returns whether the order is
    // new.
    bool begin(const RolloutOrder&, const RolloutParameters&);
    // Removes the service's order; its versions are no longer distinguished.
    void end(const std::string& service) { m_byService.erase(service); }
    // The service's rollout, or null.
    Rollout* find(const std::string& service) const;
    const std::map<std::string, std::unique_ptr<Rollout>>& all() const { return m_byService; }

private:
    std::map<std::string, std::unique_ptr<Rollout>> m_byService;
};

} // namespace lupinknot::internal
