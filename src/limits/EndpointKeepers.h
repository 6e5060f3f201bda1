// Says which VMs count for an endpoint under a limit, the first one and those that stand in for it.
//
//     const auto numbers = chooseEndpointKeepers(incarnationName, names, zones);
//
// Rendezvous hashing, so that all VMs work the same ones out. Each lies in another availability zone than those before
// it, if there is one: a zone that is cut off must not take all of them from the others.
// A pure function of its arguments; thread-safe.
#pragma once

#include <string>
#include <vector>

namespace lupinknot::internal {

// How many VMs count for an endpoint, one after the other.
inline constexpr std::size_t keepersOfAnEndpoint = 3;

struct KeeperCandidate {
    std::string name;
    std::string availabilityZone;
};

// Numbers of the candidates, first to last.
std::vector<std::size_t> chooseEndpointKeepers(const std::string& endpoint, const std::vector<KeeperCandidate>&);

} // namespace lupinknot::internal
