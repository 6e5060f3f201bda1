#include "FeedHarness.h"
#include "RunUntil.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

// The platform's store was away for 2.5 s and came back from an older copy. Its versions went back and were given out
// again, and each VM dropped what had a smaller version than the row that it knew: a revoked key stayed in force, and
// endpoints that had said that they leave got requests, until the store's counter had passed the old versions. Logs of
// all VMs showed it: store.history-gone and a table read whole at 18.5 s, then
//     21.81 endpoints.applied list_version 48
//     26.02 config.applied config_version 36, previous_version 21
// although configurations 24, 27, 31 and 33 had been acknowledged between 21.8 and 24.5 s. The row of configuration 21
// had a version that the store reached again only after 24.5 s.
TEST_GROUP(StoreHistory)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<StoreStandIn> store;

    void setup() override
    {
        ioContext = std::make_unique<boost::asio::io_context>();
        store = std::make_unique<StoreStandIn>(*ioContext);
        store->start();
    }

    void teardown() override
    {
        store.reset();
        ioContext.reset();
    }

    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(*ioContext, condition); }
};

TEST(StoreHistory, WhatIsWrittenAfterTheStoreHasGoneBackIsInForceAlthoughItsVersionIsSmaller)
{
    for (const auto* const table : { "op", "servers" }) {
        store->put(table, "a", "1");
        store->keepCopy();
        // The system's own rows raise the counter, too.
        for (int i = 0; i < 20; ++i)
            store->put("runs", "r" + std::to_string(i), "");
        store->put(table, "a", "2");
        Followed followed;
        followed.follow(*ioContext, store->port(), table);
        CHECK(runUntil([&] { return followed.rows["a"] == "2"; }));
        store->restoreCopy();
        CHECK_TEXT(runUntil([&] { return followed.snapshots == 2; }), "410 should have the table read whole");
        store->put(table, "a", "3");
        CHECK_TEXT(runUntil([&] { return followed.rows["a"] == "3"; }), "the newest row should be in force");
    }
}

// No 410 tells of it: by the time of the next question the store has given out more versions than were known before.
TEST(StoreHistory, AFeedReadsTheTableAnewWhenTheStoreHasOvertakenItSinceItWentBack)
{
    store->put("servers", "a", "1");
    store->keepCopy();
    store->put("servers", "b", "1");
    Followed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows.size() == 2; }));
    store->restoreCopy();
    store->put("servers", "c", "1");
    for (int i = 0; i < 20; ++i)
        store->put("runs", "r" + std::to_string(i), "");
    CHECK_TEXT(
        runUntil([&] { return followed.rows.count("c") == 1; }), "c was written under a version given out again");
}

TEST(StoreHistory, AVmHearsFromTheReaderOfItsZoneWhatIsWrittenAfterTheStoreHasGoneBack)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    shared.readersStore->keepCopy();
    for (int i = 0; i < 20; ++i)
        shared.readersStore->put("runs", "r" + std::to_string(i), "");
    shared.readersStore->put("servers", "a", "2");
    CHECK(runUntil([&] { return shared.follower.rows["a"] == "2"; }));
    const auto calls = shared.ownStore->callCount();
    shared.readersStore->restoreCopy();
    shared.readersStore->put("servers", "a", "3");
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["a"] == "3"; }), "the newest row should be in force");
    LONGS_EQUAL_TEXT(calls, shared.ownStore->callCount(), "its reader tells it");
}

// Between its pages the store goes back: what the first page holds is of another history than the rest.
TEST(StoreHistory, ATableThatIsReadInPagesIsOfOneHistory)
{
    store->keepCopy();
    for (int i = 0; i < 700; ++i)
        store->put("servers", "k" + std::to_string(1000 + i), "1");
    Followed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return store->callCount() == 1; }));
    store->restoreCopy();
    for (int i = 600; i < 710; ++i)
        store->put("servers", "k" + std::to_string(1000 + i), "2");
    CHECK(runUntil([&] { return followed.rows.size() == 110; }));
}

// The copy is some seconds old: it lists as ready who has said since that it leaves.
TEST(StoreHistory, AnEndpointThatHasSaidThatItLeavesGetsNoWorkThoughAnOlderListNamesItReady)
{
    const RelaySettings settings;
    EndpointDirectory directory(*ioContext, settings);
    Placement placement(directory, settings, 1);
    const EndpointEntry leaving { "e1", "s", { "127.0.0.1", 1 }, "a", 4, false };
    const EndpointEntry staying { "e2", "s", { "127.0.0.1", 2 }, "a", 4, false };
    const Milliseconds now { 100000 };
    directory.replaceAll({ leaving, staying }, now);
    auto saysSo = leaving;
    saysSo.isDraining = true;
    directory.upsert(saysSo, now);
    directory.replaceAll({ leaving, staying }, now);
    PlacementRequest request;
    request.service = "s";
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("e2", placement.choose(request, now)->entry().id.c_str());
}
