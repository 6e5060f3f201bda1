// The roll-outs that this VM takes part in, one a service.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "rollout/Rollout.h"
#include <map>
#include <memory>

namespace lupinknot::internal {

class Rollouts {
public:
    // Begins to take part; a later order for the same service takes the place of an earlier one. Returns whether the
    // order is new.
    bool begin(const RolloutOrder&, const RolloutParameters&);
    // The order is gone: versions are told apart no more.
    void end(const std::string& service) { m_byService.erase(service); }
    // The service's roll-out, or null.
    Rollout* find(const std::string& service) const;
    const std::map<std::string, std::unique_ptr<Rollout>>& all() const { return m_byService; }

private:
    std::map<std::string, std::unique_ptr<Rollout>> m_byService;
};

} // namespace lupinknot::internal
