#include "quarantine/ServedRequests.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ServedRequests)
{
    ServedRequests served;
    const Milliseconds start { 1000 };
};

TEST(ServedRequests, RemembersRecentlyServedRequests)
{
    served.note("d", start);
    CHECK(served.has("d", start));
    CHECK(served.has("d", start + ServedRequests::entryLifetime - Milliseconds { 1 }));
    CHECK_FALSE(served.has("d", start + ServedRequests::entryLifetime));
    CHECK_FALSE(served.has("another", start));
}

TEST(ServedRequests, ServingAgainRenewsEntry)
{
    served.note("d", start);
    served.note("d", start + Milliseconds { 20'000 });
    served.note("another", start + ServedRequests::entryLifetime);
    CHECK(served.has("d", start + ServedRequests::entryLifetime));
}

TEST(ServedRequests, RemovesOldestEntryBeyondMaximum)
{
    for (std::size_t i = 0; i <= ServedRequests::maxEntries; ++i)
        served.note(std::to_string(i), start);
    CHECK_FALSE(served.has("0", start));
    CHECK(served.has("1", start));
}
