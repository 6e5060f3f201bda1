// Which VMs share the keys, and which VM is responsible for a key.
//
// A view is a numbered set of VMs. Each key ranks the members by rendezvous hashing: the first is its owner, the second
// its replica. When a member leaves, only its own keys move, each of them to its replica.
//
//     const auto ranked = rankMembers(view, "wedding-17/story");
//     ranked[0].vm;                                            // The owner.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot {

struct ViewMember {
    std::string vm;
    // Chosen anew at each start of the VM. A restarted VM has lost its state and is another member.
    std::uint64_t incarnation { 0 };

    bool operator==(const ViewMember& other) const = default;
};

struct View {
    // A view replaces those with a lower epoch.
    std::uint64_t epoch { 0 };
    std::vector<ViewMember> members;

    bool contains(const ViewMember&) const;
    // The member with that name, whatever its incarnation; null when there is none.
    const ViewMember* find(std::string_view vm) const;

    bool operator==(const View& other) const = default;
};

// All members, the most responsible first. The order depends only on the key and the members' names.
std::vector<ViewMember> rankMembers(const View&, std::string_view key);

} // namespace lupinknot
