// Which runners of a service may take a request, by their version.
#pragma once

#include <string>

namespace lupinknot::internal {

struct VersionChoice {
    enum class Rule {
        Any, // No roll-out is known.
        Only, // Runners of the version alone.
        Not, // All others.
    };

    Rule rule { Rule::Any };
    std::string version;

    bool admits(const std::string& runnersVersion) const
    {
        return rule == Rule::Any || (rule == Rule::Only) == (runnersVersion == version);
    }
};

} // namespace lupinknot::internal
