// Chooses the VMs that store the run location of a stream. A VM that looks it up computes the same VMs from the
// id alone.
//
//     const LocationKeepers keepers(names);
//     const auto chosen = keepers.choose("91bd3f06");     // Indices into the names, best first.
//
// Uses rendezvous hashing among a few VMs of the fleet, so that a VM talks to few others however large the fleet is.
// VMs with different lists agree on most streams.
//
// A plain value; thread-safe while it is not assigned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lupinknot::internal {

// VMs that store each location: one may fail together with the VM that runs the request, and one may be unreachable.
inline constexpr std::size_t keepersPerLocation = 3;
// VMs of a fleet that store locations at all.
inline constexpr std::size_t maxLocationKeepers = 12;

// The keepers of one list of VMs. The list is hashed once, so that a choice costs the same in a fleet of any size.
class LocationKeepers {
public:
    LocationKeepers() = default;
    explicit LocationKeepers(const std::vector<std::string>& vmNames);

    // Indices into the list, best first.
    std::vector<std::size_t> choose(const std::string& runKey) const;

private:
    struct Keeper {
        std::uint64_t hash;
        std::size_t number;
    };

    std::vector<Keeper> m_keepers;
};

} // namespace lupinknot::internal
