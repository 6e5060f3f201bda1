// Chooses the limit keepers of a rate-limited endpoint: the VM that issues the permits for it, followed by its
// substitutes.
//
//     const auto numbers = chooseEndpointKeepers(incarnationName, { { name, availabilityZone }, ... });
//
// Uses rendezvous hashing, so that all VMs choose the same keepers. Each keeper is in another availability zone than
// those before it, if possible, so that a zone that is cut off does not take all of them. A pure function of its
// arguments; thread-safe.
#pragma once

#include <string>
#include <vector>

namespace lupinknot::internal {

// Keepers of an endpoint, including the substitutes.
inline constexpr std::size_t keepersPerEndpoint = 3;

struct KeeperCandidate {
    std::string name;
    std::string availabilityZone;
};

// Returns indices into the candidates, first keeper first.
std::vector<std::size_t> chooseEndpointKeepers(const std::string& endpoint, const std::vector<KeeperCandidate>&);

} // namespace lupinknot::internal
