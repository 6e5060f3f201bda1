// Says which VMs keep what is told of a prompt: a VM that has to find it works the same ones out from the prompt alone.
//
//     const auto keepers = chooseLocationKeepers("91bd3f06", names);     // Numbers of the names, best first.
//
// Rendezvous hashing among a few VMs of the fleet, so that a VM talks to few others however many there are. VMs that
// know different lists agree on most prompts; the choice is a hint and nothing depends on it.
// A pure function of its arguments; thread-safe.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lupinknot::internal {

// Each location is kept by so many VMs: one may die together with the VM that runs the request, one be cut off.
inline constexpr std::size_t keepersPerLocation = 3;
// Only so many VMs of a fleet keep locations.
inline constexpr std::size_t maxLocationKeepers = 12;

std::vector<std::size_t> chooseLocationKeepers(const std::string& promptId, const std::vector<std::string>& vmNames);

} // namespace lupinknot::internal
