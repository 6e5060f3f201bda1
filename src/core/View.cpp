#include "lupinknot/View.h"

#include <algorithm>
#include <xxhash.h>

namespace lupinknot {

namespace {

struct RankedMember {
    std::uint64_t weight;
    const ViewMember* member;
};

bool ranksHigher(const RankedMember& a, const RankedMember& b)
{
    if (a.weight != b.weight)
        return a.weight > b.weight;
    return a.member->vm < b.member->vm;
}

} // namespace

bool View::contains(const ViewMember& member) const
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

const ViewMember* View::find(std::string_view vm) const
{
    const auto hasName = [vm](const ViewMember& member) { return member.vm == vm; };
    const auto found = std::find_if(members.begin(), members.end(), hasName);
    return found == members.end() ? nullptr : &*found;
}

std::vector<ViewMember> rankMembers(const View& view, std::string_view key)
{
    const auto keyHash = XXH3_64bits(key.data(), key.size());
    std::vector<RankedMember> ranked;
    ranked.reserve(view.members.size());
    for (const auto& member : view.members)
        ranked.push_back({ XXH3_64bits_withSeed(member.vm.data(), member.vm.size(), keyHash), &member });
    std::sort(ranked.begin(), ranked.end(), ranksHigher);
    std::vector<ViewMember> members;
    members.reserve(ranked.size());
    for (const auto& entry : ranked)
        members.push_back(*entry.member);
    return members;
}

} // namespace lupinknot
