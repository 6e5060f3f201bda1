// Which VMs share the keys among them, and who is responsible for a key.
//
// A view is a numbered set of VMs. Each key ranks the members by rendezvous hashing: the first is its owner, the second
// its replica. When a member leaves, only its own keys move, and each of them to its replica.
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
    // Drawn at each start of the VM; a restarted VM has forgotten everything and is another member.
    std::uint64_t incarnation { 0 };

    bool operator==(const ViewMember& other) const = default;
};

struct View {
    // Views with a higher epoch replace those with a lower one.
    std::uint64_t epoch { 0 };
    std::vector<ViewMember> members;

    bool contains(const ViewMember&) const;
    // The member of that name, whatever its incarnation; nothing when there is none.
    const ViewMember* find(std::string_view vm) const;

    bool operator==(const View& other) const = default;
};

// All members, the most responsible first. The order depends on the key and the members' names alone.
std::vector<ViewMember> rankMembers(const View&, std::string_view key);

} // namespace lupinknot
