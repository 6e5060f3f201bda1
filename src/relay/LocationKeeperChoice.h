// Chooses the VMs that store the run location of a prompt. A VM that looks it up computes the same VMs from the prompt
// alone.
//
//     const auto keepers = chooseLocationKeepers("91bd3f06", names);     // Indices into the names, best first.
//
// Uses rendezvous hashing among a few VMs of the fleet, so that a VM talks to few others however large the fleet is.
// VMs with different lists agree on most prompts; the location is only a hint, and nothing depends on it.
//
// A pure function of its arguments; thread-safe.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lupinknot::internal {

// VMs that store each location: one may fail together with the VM that runs the request, and one may be unreachable.
inline constexpr std::size_t keepersPerLocation = 3;
// VMs of a fleet that store locations at all.
inline constexpr std::size_t maxLocationKeepers = 12;

std::vector<std::size_t> chooseLocationKeepers(const std::string& promptId, const std::vector<std::string>& vmNames);

} // namespace lupinknot::internal
