// Which runners of a service may take a request, by version.
#pragma once

#include <string>

namespace lupinknot::internal {

struct VersionChoice {
    enum class Rule {
        Any, // No rollout is known.
        Only, // Only runners of the version.
        Not, // All runners except those of the version.
        None, // No runner.
    };

    Rule rule { Rule::Any };
    std::string version;

    bool admits(const std::string& runnersVersion) const
    {
        switch (rule) {
        case Rule::Any:
            return true;
        case Rule::Only:
            return runnersVersion == version;
        case Rule::Not:
            return runnersVersion != version;
        case Rule::None:
            break;
        }
        return false;
    }
};

} // namespace lupinknot::internal
