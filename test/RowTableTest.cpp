#include "RowTable.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::platform;

TEST_GROUP(RowTable)
{
    RowTable table;

    std::vector<StoreRow> decoded(std::uint64_t after) const
    {
        return decodeRows(nlohmann::json::parse(table.encodeChanges(after, 9, lupinknot::Milliseconds { 0 })));
    }
};

TEST(RowTable, DropsARowThatIsNotNewerThanTheKnownOne)
{
    LONGS_EQUAL(1, table.apply({ { "a", "new", false, 5 } }).size());
    LONGS_EQUAL(0, table.apply({ { "a", "old", false, 4 } }).size());
    LONGS_EQUAL(0, table.apply({ { "a", "again", false, 5 } }).size());
    STRCMP_EQUAL("new", decoded(0)[0].value.c_str());
}

TEST(RowTable, AnOldRowDoesNotRestoreARemovedRow)
{
    table.apply({ { "a", "", true, 5 } });
    LONGS_EQUAL(0, table.apply({ { "a", "old", false, 4 } }).size());
}

TEST(RowTable, EncodesTheChangesThatAnotherVmLacks)
{
    table.apply({ { "a", "1", false, 3 }, { "b", "", true, 5 }, { "c", "3", false, 6 } });
    const auto rows = decoded(4);
    LONGS_EQUAL(2, rows.size());
    CHECK(rows[0].isRemoved);
    STRCMP_EQUAL("3", rows[1].value.c_str());
    LONGS_EQUAL_TEXT(2, decoded(0).size(), "a VM that knows nothing should get the existing rows only");
}

TEST(RowTable, RowsMissingInAWholeTableAreRemoved)
{
    table.apply({ { "a", "1", false, 3 }, { "b", "2", false, 4 } });
    const auto present = table.replace({ { "b", "2", false, 4 } }, { 0, 7 });
    LONGS_EQUAL(1, present.size());
    CHECK(decoded(4)[0].isRemoved);
}
