// Finds the engine that holds the live copy of a run: the copy of its KV cache that is updated while the run continues.
//
// Load pattern: while the engines of a zone restart under new names, the endpoint list is not updated for seconds.
// Copies are sent to addresses, so the copies of runs that began in that time are on engines that this VM knows by
// their earlier names; once the list is updated again, the earlier names are removed. Such copies are found by address;
// otherwise these runs would have to prefill their prompts again.
//
//     const auto holder = copyHolderOf(run, directory);       // Null when no copy was requested.
//
// Pure functions of their arguments; used on the relay's thread only.
#pragma once

#include <memory>

namespace lupinknot::internal {

class EndpointDirectory;
class RelayEndpoint;
struct StreamRun;

// Returns the engine that the copy was sent to. If that engine is no longer listed, returns the one that is now listed
// at its address, unless the zone has failed since the run began. An engine without the copy reports that, which costs
// a retry.
std::shared_ptr<RelayEndpoint> copyHolderOf(const StreamRun&, const EndpointDirectory&);

} // namespace lupinknot::internal
