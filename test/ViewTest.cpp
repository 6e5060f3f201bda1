#include "lupinknot/View.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

View viewWithMembers(std::size_t count)
{
    View view { 1, {} };
    for (std::size_t i = 0; i < count; ++i)
        view.members.push_back({ "vm" + std::to_string(i), i });
    return view;
}

View without(View view, const std::string& vm)
{
    const auto hasName = [&vm](const ViewMember& member) { return member.vm == vm; };
    view.members.erase(std::remove_if(view.members.begin(), view.members.end(), hasName), view.members.end());
    return view;
}

} // namespace

TEST_GROUP(View) {};

TEST(View, RankingDoesNotDependOnTheOrderOfMembers)
{
    auto view = viewWithMembers(7);
    const auto ranked = rankMembers(view, "key");
    std::reverse(view.members.begin(), view.members.end());
    CHECK(ranked == rankMembers(view, "key"));
}

TEST(View, GivesTheKeysOfALeavingOwnerToTheirReplicas)
{
    const auto view = viewWithMembers(7);
    for (int i = 0; i < 200; ++i) {
        const auto key = std::to_string(i);
        const auto ranked = rankMembers(view, key);
        const auto after = rankMembers(without(view, ranked[0].vm), key);
        STRCMP_EQUAL(ranked[1].vm.c_str(), after[0].vm.c_str());
    }
}

TEST(View, DoesNotMoveKeysOfRemainingMembers)
{
    const auto view = viewWithMembers(7);
    const auto smaller = without(view, "vm3");
    for (int i = 0; i < 200; ++i) {
        const auto key = std::to_string(i);
        const auto owner = rankMembers(view, key)[0];
        if (owner.vm != "vm3")
            STRCMP_EQUAL(owner.vm.c_str(), rankMembers(smaller, key)[0].vm.c_str());
    }
}

TEST(View, DistinguishesARestartedMemberFromTheOldOne)
{
    const auto view = viewWithMembers(2);
    CHECK(view.contains({ "vm1", 1 }));
    CHECK_FALSE(view.contains({ "vm1", 2 }));
}
