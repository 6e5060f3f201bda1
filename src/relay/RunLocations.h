// Shares among the VMs at which engines the runs of streams are, and which software version began each stream.
//
// A caller whose VM has failed reconnects to another VM. That VM sends the request to the engine that was running it,
// which has the prompt in its cache, or to the engine that holds a copy of the run, if it can look them up. Engines are
// hints: they may be outdated. The version is noted once the stream has events, or earlier if its service has no other,
// and does not change from then on. Either may be lost. Used on the relay's thread only.
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
    // The software version that began the stream; nothing while that is not certain, and in the notes of a release that
    // did not record it.
    std::optional<std::string> version {};
    // The stream to which the run belongs (streamIdOf); empty when the attempt that the run is named after began it.
    std::string streamId {};
    // The service has several versions, so that the stream can continue elsewhere only if the note is found.
    bool isNeededToContinue { false };
};

// Result of a search for a stream's run.
struct RunLocationResult {
    std::optional<RunLocation> location;
    // False when a VM or a store that may know the run did not answer.
    bool isComplete { true };
};

class RunLocations {
public:
    using FindCallback = std::function<void(const RunLocationResult&)>;

    virtual ~RunLocations() = default;
    // Keys are hexadecimal (runKeyOf). Streams of one key replace each other's notes.
    virtual void note(const std::string& runKey, const RunLocation&) = 0;
    virtual void forget(const std::string& runKey) = 0;
    // Calls back exactly once after a short time.
    virtual void find(const std::string& runKey, FindCallback) = 0;
};

} // namespace lupinknot::internal
