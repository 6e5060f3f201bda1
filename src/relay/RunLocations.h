// Shares among the VMs at which engines the runs of prompts are.
//
// A caller whose VM has failed reconnects to another VM. That VM sends the request to the engine that was running it,
// which has the prompt in its cache, or to the engine that holds a copy of the run, if it can look them up. Locations
// are hints: they may be lost or outdated, and only the choice of an engine depends on them. Used on the relay's thread
// only.
#pragma once

#include "http/SocketAddress.h"
#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

struct RunLocation {
    // The engine that runs the request, and the one that receives the run's live copy (empty when there is none).
    std::string endpointId;
    std::string copyHolderId;
    // Id of the caller's attempt, which also names the run and its copy.
    std::string requestId;
    // Address of the copy holder: it may have restarted under another id before the copy was sent there.
    SocketAddress copyHolderAddress {};
};

class RunLocations {
public:
    using FindCallback = std::function<void(const std::optional<RunLocation>&)>;

    virtual ~RunLocations() = default;
    virtual void note(const std::string& promptId, const RunLocation&) = 0;
    virtual void forget(const std::string& promptId) = 0;
    // Calls back exactly once after a short time, with nothing when no location is known.
    virtual void find(const std::string& promptId, FindCallback) = 0;
};

} // namespace lupinknot::internal
