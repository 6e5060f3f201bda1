// Where the runs of prompts are, told from VM to VM.
//
// A caller whose VM has died comes back to another one. This one sends the request to the engine that was running it,
// which has the prompt in its cache, or to the one that holds a copy of the run, if it can find out which they were.
// What is noted is a hint: it may be lost or old, and nothing but the choice of an engine depends on it. Used on the
// relay's thread only.
#pragma once

#include "http/SocketAddress.h"
#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

struct RunLocation {
    // The engine that runs the request, and the one that receives a growing copy (empty when none does).
    std::string endpointId;
    std::string copyHolderId;
    // The caller's attempt that the run and its copy are named after.
    std::string requestId;
    // Where the copy's holder is: it may have started again under another id before the copy was sent there.
    SocketAddress copyHolderAddress {};
};

class RunLocations {
public:
    using FindCallback = std::function<void(const std::optional<RunLocation>&)>;

    virtual ~RunLocations() = default;
    virtual void note(const std::string& promptId, const RunLocation&) = 0;
    virtual void forget(const std::string& promptId) = 0;
    // Calls back once, soon, also when nothing is known.
    virtual void find(const std::string& promptId, FindCallback) = 0;
};

} // namespace lupinknot::internal
