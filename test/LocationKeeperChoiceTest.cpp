#include "relay/LocationKeeperChoice.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(LocationKeeperChoice) { static std::vector<std::string> fleet(int size) { std::vector<std::string> names;
names.reserve(static_cast<std::size_t>(size));
for (int i = 0; i < size; ++i)
    names.push_back("10.0.0." + std::to_string(i) + ":7200");
return names;
}

static std::set<std::string> keepers(const std::string& promptId, const std::vector<std::string>& names)
{
    std::set<std::string> chosen;
    for (const auto number : LocationKeepers(names).choose(promptId))
        chosen.insert(names[number]);
    return chosen;
}
}
;

TEST(LocationKeeperChoice, KeepersDoNotDependOnTheOrderOfTheList)
{
    const auto names = fleet(6);
    auto reversed = names;
    std::reverse(reversed.begin(), reversed.end());
    for (int i = 0; i < 100; ++i)
        CHECK(keepers(std::to_string(i), names) == keepers(std::to_string(i), reversed));
}

TEST(LocationKeeperChoice, LosingAVmReplacesAtMostOneKeeper)
{
    const auto names = fleet(6);
    auto fewer = names;
    fewer.pop_back();
    for (int i = 0; i < 100; ++i) {
        std::size_t shared = 0;
        for (const auto& name : keepers(std::to_string(i), fewer))
            shared += keepers(std::to_string(i), names).count(name);
        CHECK_TEXT(shared >= keepersPerLocation - 1, "the loss of one VM must replace at most one keeper");
    }
}

TEST(LocationKeeperChoice, PromptsSpreadOverTheVms)
{
    std::set<std::string> used;
    for (int i = 0; i < 100; ++i)
        used.merge(keepers(std::to_string(i), fleet(6)));
    LONGS_EQUAL(6, used.size());
}

TEST(LocationKeeperChoice, KeepersAreFewInALargeFleet)
{
    std::set<std::string> used;
    for (int i = 0; i < 1000; ++i)
        used.merge(keepers(std::to_string(i), fleet(300)));
    LONGS_EQUAL(maxLocationKeepers, used.size());
}

TEST(LocationKeeperChoice, TakesAllVmsWhenThereAreFewerThanKeepers)
{
    LONGS_EQUAL(1, LocationKeepers(fleet(1)).choose("p").size());
    LONGS_EQUAL(0, LocationKeepers(std::vector<std::string> {}).choose("p").size());
}
