// Which runners of a service may take a request, by version.
#pragma once

#include <string>

namespace lupinknot::internal {

struct VersionChoice {
    enum class Rule {
        Any, // No rollout is known.
        Only, // Only runners of the version.
        Not, // All runners except those of the version.
    };

    Rule rule { Rule::Any };
    std::string version;

    bool admits(const std::string& runnersVersion) const
    {
        return rule == Rule::Any || (rule == Rule::Only) == (runnersVersion == version);
    }
};

} // namespace lupinknot::internal
