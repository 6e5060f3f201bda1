// Where the runs of prompts are, told from VM to VM.
//
// A caller whose VM has died comes back to another one. This one sends the request to the engine that was running it,
// which has the prompt in its cache, if it can find out which one that was. What is noted is a hint: it may be lost or
// old, and nothing but the choice of an engine depends on it.
// Used on the relay's thread only.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

class RunLocations {
public:
    using Found = std::function<void(std::optional<std::string> endpointId)>;

    virtual ~RunLocations() = default;
    virtual void note(const std::string& promptId, const std::string& endpointId) = 0;
    virtual void forget(const std::string& promptId) = 0;
    // Calls back once, soon, also when nothing is known.
    virtual void find(const std::string& promptId, Found) = 0;
};

} // namespace lupinknot::internal
