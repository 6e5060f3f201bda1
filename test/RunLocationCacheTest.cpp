#include "relay/RunLocationCache.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RunLocationCache)
{
    RunLocationCache cache { Milliseconds { 1000 }, 3 };
    const Milliseconds start { 5000 };

    void put(const std::string& promptId, const std::string& request, Milliseconds now)
    {
        cache.put(promptId, { "e1", "e2", request }, now);
    }

    std::string requestOf(const std::string& promptId, Milliseconds now) const
    {
        const auto* location = cache.find(promptId, now);
        return location ? location->requestId : "unknown";
    }
};

TEST(RunLocationCache, FindsNewestLocationOfPrompt)
{
    put("p", "r1", start);
    put("p", "r2", start);
    STRCMP_EQUAL("r2", requestOf("p", start).c_str());
    STRCMP_EQUAL("unknown", requestOf("q", start).c_str());
}

TEST(RunLocationCache, ExpiresEntriesAfterLifetime)
{
    put("p", "r1", start);
    STRCMP_EQUAL("r1", requestOf("p", start + Milliseconds { 1000 }).c_str());
    STRCMP_EQUAL("unknown", requestOf("p", start + Milliseconds { 1001 }).c_str());
}

TEST(RunLocationCache, RestartsLifetimeWhenPutAgain)
{
    put("p", "r1", start);
    put("p", "r2", start + Milliseconds { 900 });
    put("q", "r3", start + Milliseconds { 1500 });
    STRCMP_EQUAL("r2", requestOf("p", start + Milliseconds { 1500 }).c_str());
}

TEST(RunLocationCache, EvictsOldestWhenFull)
{
    for (const auto* const promptId : { "p1", "p2", "p3", "p4" })
        put(promptId, "r", start);
    STRCMP_EQUAL("unknown", requestOf("p1", start).c_str());
    LONGS_EQUAL(3, cache.size());
}

TEST(RunLocationCache, FindsNothingAfterRemoval)
{
    put("p", "r1", start);
    cache.remove("p");
    STRCMP_EQUAL("unknown", requestOf("p", start).c_str());
}
