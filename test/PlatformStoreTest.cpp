#include "FeedHarness.h"
#include "RunUntil.h"
#include "StoreRunLocations.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

TEST_GROUP(PlatformStore)
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

TEST(PlatformStore, AFeedReportsTheTableAndItsChanges)
{
    store->put("servers", "a", "1");
    RecordingFeed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows["a"] == "1"; }));
    store->put("servers", "b", "2");
    CHECK(runUntil([&] { return followed.rows["b"] == "2"; }));
    store->remove("servers", "a");
    CHECK(runUntil([&] { return followed.rows.count("a") == 0; }));
    LONGS_EQUAL(1, followed.snapshots);
}

TEST(PlatformStore, AFeedReadsATableOfManyPages)
{
    for (int i = 0; i < 1203; ++i)
        store->put("servers", "k" + std::to_string(i), "v");
    RecordingFeed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows.size() == 1203; }));
    LONGS_EQUAL(1, followed.snapshots);
}

TEST(PlatformStore, AFeedReadsTheTableAgainAfterAGapInTheHistory)
{
    store->put("servers", "a", "1");
    RecordingFeed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows.count("a") == 1; }));
    store->setFault(StoreFault::Unavailable);
    store->remove("servers", "a");
    store->put("servers", "b", "2");
    store->forgetHistory();
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return followed.rows.count("b") == 1; }));
    LONGS_EQUAL(0, followed.rows.count("a"));
    LONGS_EQUAL(2, followed.snapshots);
}

TEST(PlatformStore, AFeedKeepsItsRowsDuringAnOutage)
{
    for (const auto fault : { StoreFault::Unavailable, StoreFault::Silent }) {
        store->put("servers", "a", "1");
        RecordingFeed followed;
        followed.follow(*ioContext, store->port(), "servers");
        CHECK(runUntil([&] { return followed.rows.count("a") == 1; }));
        bool hasFailed = false;
        followed.feed->onFailure([&] { hasFailed = true; });
        store->setFault(fault);
        CHECK(runUntil([&] { return hasFailed; }));
        STRCMP_EQUAL("1", followed.rows["a"].c_str());
        store->setFault(StoreFault::None);
        store->put("servers", "a", "2");
        CHECK(runUntil([&] { return followed.rows["a"] == "2"; }));
    }
}

TEST(PlatformStore, AVmWithoutTheStoreGetsChangesFromAnotherVm)
{
    store->put("op", "config", "1");
    StoreStandIn brokenStore(*ioContext);
    brokenStore.start();
    brokenStore.setFault(StoreFault::Unavailable);

    RecordingFeed near;
    near.follow(*ioContext, store->port(), "op");
    VmRegistry nearVms(
        *ioContext, { "127.0.0.1", store->port() }, { "near", "a", {} }, {}, [](const std::vector<VmEntry>&) {});
    PeerFeeds nearFeeds(*ioContext, { "127.0.0.1", 0 }, nearVms);
    nearFeeds.add(near.feed);
    CHECK_FALSE(nearFeeds.start().has_value());
    const SocketAddress nearAddress { "127.0.0.1", nearFeeds.port() };

    RecordingFeed far;
    far.follow(*ioContext, brokenStore.port(), "op");
    VmRegistry farVms(*ioContext, { "127.0.0.1", brokenStore.port() }, { "far", "a", {} },
        { { "near", "a", nearAddress } }, [](const std::vector<VmEntry>&) {});
    PeerFeeds farFeeds(*ioContext, { "127.0.0.1", 0 }, farVms);
    farFeeds.add(far.feed);

    CHECK(runUntil([&] { return far.rows["config"] == "1"; }));
    store->put("op", "config", "2");
    CHECK(runUntil([&] { return far.rows["config"] == "2"; }));
}

// When the store stops responding, the endpoint feed's long poll lasts up to 20 s; the configuration feed detects the
// loss earlier and makes the endpoint feed call again.
TEST(PlatformStore, ARestartedCallCountsAsFailed)
{
    RecordingFeed followed;
    followed.follow(*ioContext, store->port(), "servers", Milliseconds { 60000 });
    CHECK(runUntil([&] { return followed.snapshots == 1; }));
    store->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return store->callCount() == 2; }));
    bool hasFailed = false;
    followed.feed->onFailure([&] { hasFailed = true; });
    followed.feed->restartCall();
    CHECK_TEXT(hasFailed, "other VMs are polled only after a failed call");
    store->setFault(StoreFault::None);
    store->put("servers", "a", "1");
    CHECK(runUntil([&] { return followed.rows["a"] == "1"; }));
}

TEST(PlatformStore, AFollowerGetsChangesFromItsZoneReader)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    shared.readerStore->put("servers", "b", "2");
    shared.readerStore->remove("servers", "a");
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["b"] == "2" && !shared.follower.rows.count("a"); }),
        "the change is in the reader's store only, so only the reader can provide it");
    CHECK_TEXT(shared.followerStore->callCount() <= 2, "a VM that follows a reader should not call the store again");
}

TEST(PlatformStore, AFollowerCallsTheStoreWhenItsReaderHasLostTheStore)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readerStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.putNewerIntoFollowerStore("b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
    CHECK_FALSE_TEXT(shared.readers.current().has_value(), "the reader should be skipped for a while");
}

TEST(PlatformStore, AFollowerPollsTheNextReaderWhenTheFirstHasOldData)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    const auto secondStore = ReaderAndFollower::startedStore(*ioContext);
    RecordingFeed second;
    second.follow(*ioContext, secondStore->port(), "servers");
    PeerFeeds secondFeeds(*ioContext, { "127.0.0.1", 0 }, shared.vms);
    secondFeeds.add(second.feed);
    CHECK_FALSE(secondFeeds.start().has_value());
    shared.setReader({ "127.0.0.1", shared.feeds.port() }, { "127.0.0.1", secondFeeds.port() });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readerStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    while (secondStore->version() < shared.readerStore->version())
        secondStore->put("op", "config", "1");
    const auto calls = shared.followerStore->callCount();
    secondStore->put("servers", "b", "2");
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["b"] == "2"; }), "the next reader has the change");
    LONGS_EQUAL_TEXT(
        calls, shared.followerStore->callCount(), "old data of one reader should not cause a call to the store");
}

// The store rejected all readers of a zone and served the zone's other VMs, which polled the readers in turn and
// applied a configuration six seconds late.
TEST(PlatformStore, AFollowerCallsTheStoreWhenTheStoreRejectsAllReaders)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readerStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    shared.putNewerIntoFollowerStore("b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
}

// A call that only confirms the known data must not wait for changes, because a reader may have some before the call
// would end.
TEST(PlatformStore, AFollowerReturnsToItsReadersSoonWhenTheStoreIsSilent)
{
    ReaderAndFollower shared(*ioContext, readerWait, Milliseconds { 60000 });
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readerStore->setFault(StoreFault::Unavailable);
    shared.followerStore->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return hasFailed; }));
    const auto calls = shared.followerStore->callCount();
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    CHECK(runUntil([&] { return shared.followerStore->callCount() > calls; }));
    shared.readerStore->setFault(StoreFault::None);
    shared.readerStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
}

// When the store responds to no VM, each VM calls it once, and again only after a growing pause.
TEST(PlatformStore, AFollowerRarelyCallsAStoreThatIsDownForAll)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    for (auto* const failingStore : { shared.readerStore.get(), shared.followerStore.get() })
        failingStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    const auto calls = shared.followerStore->callCount();
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    int failures = 0;
    shared.follower.feed->onFailure([&] { ++failures; });
    CHECK(runUntil([&] { return failures > 0; }));
    const auto expectedCalls = shared.readerStore->callCount() + 3;
    CHECK(runUntil([&] { return shared.readerStore->callCount() > expectedCalls; }));
    LONGS_EQUAL_TEXT(
        calls + 1, shared.followerStore->callCount(), "the clock does not advance, so no second call is due");
}

TEST(PlatformStore, ANewerRowIsAcceptedFromAReaderWhateverItsAge)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    shared.readerStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.reader.rows["b"] == "2"; }));
    shared.readerStore->setFault(StoreFault::Unavailable);
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.followerStore->setFault(StoreFault::Unavailable);
    CHECK_TEXT(
        runUntil([&] { return shared.follower.rows["b"] == "2"; }), "the row's version is newer than the known one");
}

// The reader was a follower itself until now, or its long poll lasts longer than its data may be old.
TEST(PlatformStore, ANewReaderConfirmsItsDataForItsFirstFollower)
{
    ReaderAndFollower shared(*ioContext, Milliseconds { 60000 });
    CHECK(runUntil([&] { return shared.reader.rows["a"] == "1"; }));
    shared.reader.clock.advance(Milliseconds { 5000 });
    CHECK(runUntil([&] { return shared.follower.rows["a"] == "1"; }));
    const auto calls = shared.readerStore->callCount();
    CHECK(runUntil([&] { return shared.readerStore->callCount() > calls; }));
    shared.readerStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
    CHECK_TEXT(shared.readers.current().has_value(), "the reader should not count as failed");
}

// A VM that has been cut off polls one that started later. A row that the first VM knows was removed before the second
// one's first read, so the second one has no change that reports the removal.
TEST(PlatformStore, AVmThatStartedAfterARemovalSendsTheWholeTable)
{
    // The two stores stand for one store; `earlier` is in the state that the cut-off VM saw last.
    StoreStandIn earlier(*ioContext);
    earlier.start();
    for (auto* const at : { &earlier, store.get() }) {
        at->put("servers", "a", "1");
        at->put("servers", "b", "1");
    }
    RecordingFeed cutOff;
    cutOff.follow(*ioContext, earlier.port(), "servers");
    CHECK(runUntil([&] { return cutOff.rows.size() == 2; }));
    earlier.setFault(StoreFault::Silent);
    store->remove("servers", "a");
    RecordingFeed started;
    started.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return started.snapshots == 1; }));
    cutOff.feed->applyFromPeer(started.feed->encodeChanges(*cutOff.feed->position()));
    CHECK_TEXT(cutOff.rows.count("a") == 0, "the removed row should be removed here too");
    LONGS_EQUAL(1, cutOff.rows.count("b"));
}

TEST(PlatformStore, AFollowerCallsTheStoreWhenItsReaderIsUnreachable)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    // The port of a closed listener.
    const SocketAddress closed { "127.0.0.1", ReaderAndFollower::startedStore(*ioContext)->port() };
    shared.setReader(closed);
    shared.putNewerIntoFollowerStore("b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
}

TEST(PlatformStore, VmsFindEachOtherAndCountThemselves)
{
    std::size_t count = 0;
    const SocketAddress address { "127.0.0.1", store->port() };
    VmRegistry first(*ioContext, address, { "vm1", "a", { "10.0.0.1", 7200 } }, {}, [](const std::vector<VmEntry>&) {});
    VmRegistry second(*ioContext, address, { "vm2", "a", { "10.0.0.2", 7200 } }, {},
        [&count](const std::vector<VmEntry>& others) { count = others.size() + 1; });
    CHECK(runUntil([&] { return count == 2; }));
    STRCMP_EQUAL("10.0.0.1:7200", second.choosePeer()->address.text().c_str());
}

TEST(PlatformStore, ARestartedVmReadsTheTableAndWritesNothing)
{
    const SocketAddress address { "127.0.0.1", store->port() };
    const VmEntry self { "vm1", "a", { "10.0.0.1", 7200 }, 100 };
    const auto start = [&](const VmEntry& vm, std::size_t& notifiedCount) {
        return std::make_unique<VmRegistry>(
            *ioContext, address, vm, std::vector<VmEntry> {},
            [&notifiedCount](const std::vector<VmEntry>& others) { notifiedCount = others.size() + 1; },
            FleetStart::Earlier);
    };
    std::size_t notifiedCount = 0;
    auto first = start(self, notifiedCount);
    CHECK(runUntil([&] { return store->value("vms", "vm1").has_value(); }));
    LONGS_EQUAL_TEXT(2, store->callCount(), "a VM that is not in the table should read it and add itself");
    first.reset();
    const auto calls = store->callCount();
    const auto again = start(self, notifiedCount = 0);
    CHECK(runUntil([&] { return notifiedCount == 1; }));
    LONGS_EQUAL(calls + 1, store->callCount());
    // The VM restarts with another address.
    const auto moved = start({ "vm1", "a", { "10.0.0.9", 7200 }, 100 }, notifiedCount = 0);
    CHECK(runUntil([&] { return store->value("vms", "vm1")->find("10.0.0.9") != std::string::npos; }));
}

// Thirty VMs that were new to the table started at the same moment. Each read the table before any of them was in it
// and assumed that it was alone until its next read 30 s later. An endpoint that accepts 2.3 requests per second from
// all VMs got 34 in four seconds (18 are allowed), because each VM used the whole limit.
TEST(PlatformStore, NewVmsThatStartTogetherFindEachOtherSoon)
{
    const SocketAddress address { "127.0.0.1", store->port() };
    std::array<std::size_t, 2> known { 0, 0 };
    const auto start = [&](std::size_t i) {
        return std::make_unique<VmRegistry>(
            *ioContext, address, VmEntry { "vm" + std::to_string(i), "a", { "10.0.0.1", 7200 } },
            std::vector<VmEntry> {}, [&known, i](const std::vector<VmEntry>& others) { known[i] = others.size() + 1; },
            FleetStart::Earlier);
    };
    const auto first = start(0);
    const auto second = start(1);
    CHECK(runUntil([&] { return known[0] == 2 && known[1] == 2; }));
}

TEST(PlatformStore, AFeedWaitsForItsZoneReadersAfterItsFirstRead)
{
    ReaderAndFollower shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    RecordingFeed starting;
    ZoneReaders readers(starting.clock, { "vm6", "a", {} });
    store->put("servers", "a", "1");
    starting.follow(*ioContext, store->port(), "servers", Milliseconds { 60000 });
    starting.feed->follow(readers, ReaderAndFollower::sharing);
    CHECK(runUntil([&] { return starting.rows["a"] == "1"; }));
    LONGS_EQUAL(1, store->callCount());
    readers.setOthers({ { "vm1", "a", { "127.0.0.1", shared.feeds.port() } }, { "vm2", "a", {} }, { "vm3", "a", {} },
        { "vm4", "a", {} }, { "vm5", "a", {} } });
    starting.feed->noteReadersKnown();
    while (shared.readerStore->version() < store->version())
        shared.readerStore->put("op", "config", "1");
    shared.readerStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return starting.rows["b"] == "2"; }));
    LONGS_EQUAL_TEXT(1, store->callCount(), "after its first read the feed should poll the reader");
}

TEST(PlatformStore, AVmOfALargeZoneGetsTheVmListFromTheReader)
{
    ReaderAndFollower shared(*ioContext);
    shared.feeds.handleQueries(
        VmRegistry::listPath, [&shared](const std::string& version) { return shared.vms.list(version); });
    const SocketAddress address { "127.0.0.1", store->port() };
    CHECK(runUntil([&] { return shared.vms.text().has_value(); }));
    std::size_t count = 0;
    VmRegistry vms(*ioContext, address, { "vm7", "a", { "10.0.0.7", 7200 } }, {},
        [&count](const std::vector<VmEntry>& others) { count = others.size() + 1; });
    vms.useZoneReaders(shared.readers);
    CHECK(runUntil([&] { return count > 0; }));
    LONGS_EQUAL_TEXT(2, count, "the reader's table contains vm1 only");
    LONGS_EQUAL_TEXT(1, store->callCount(), "the VM should add itself without reading the table from the store");
}

TEST(PlatformStore, ALocationIsFoundByAnotherVmUntilTheRunHasEnded)
{
    const SocketAddress address { "127.0.0.1", store->port() };
    StoreRunLocations writer(*ioContext, address);
    StoreRunLocations reader(*ioContext, address);
    writer.writeSoon();
    writer.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return store->value("runs", "p1").has_value(); }));

    std::optional<RunLocation> found;
    bool isAnswered = false;
    reader.find("p1", [&](const RunLocationResult& result) {
        found = result.location;
        isAnswered = true;
    });
    CHECK(runUntil([&] { return isAnswered; }));
    STRCMP_EQUAL("e1", found->endpointId.c_str());
    STRCMP_EQUAL("e2", found->copyHolderId.c_str());
    STRCMP_EQUAL("r1", found->requestId.c_str());

    writer.forget("p1");
    writer.note("p2", { "e1", "", "r2" });
    CHECK(runUntil([&] { return store->value("runs", "p2").has_value(); }));
    CHECK_FALSE(store->value("runs", "p1").has_value());
}

TEST(PlatformStore, ANoteThatIsNeededToContinueIsWrittenBeforeEarlierOnes)
{
    StoreRunLocations usual(*ioContext, { "127.0.0.1", store->port() });
    StoreRunLocations needed(*ioContext, { "127.0.0.1", store->port() });
    usual.note("p1", { "e1", "", "r1" });
    RunLocation location { "e1", "", "r2" };
    location.isNeededToContinue = true;
    needed.note("p2", location);
    CHECK(runUntil([&] { return store->value("runs", "p2").has_value(); }));
    CHECK_FALSE(store->value("runs", "p1").has_value());
}

// Guards against notes of many streams that are written in parts, each a batching time after the last one.
TEST(PlatformStore, NotesBeyondOneWriteDoNotWaitForTheNextBatch)
{
    StoreRunLocations many(*ioContext, { "127.0.0.1", store->port() });
    StoreRunLocations few(*ioContext, { "127.0.0.1", store->port() });
    constexpr std::size_t count = 300;
    for (std::size_t i = 0; i < count; ++i)
        many.note("p" + std::to_string(i), { "e1", "", "r1" });
    few.note("q1", { "e1", "", "r1" });
    CHECK(runUntil([&] { return store->value("runs", "q1").has_value(); }));
    few.note("q2", { "e1", "", "r1" });
    CHECK(runUntil([&] { return store->value("runs", "q2").has_value(); }));
    LONGS_EQUAL(count + 2, store->keys("runs").size());
}

TEST(PlatformStore, RejectedNotesAreWrittenAfterTheStoreRecovers)
{
    store->setFault(StoreFault::Unavailable);
    StoreRunLocations writer(*ioContext, { "127.0.0.1", store->port() });
    writer.writeSoon();
    writer.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return store->callCount() > 0; }));
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return store->value("runs", "p1").has_value(); }));
}

TEST(PlatformStore, ANoteDoesNotCancelTheWriteInFlight)
{
    store->setFault(StoreFault::Silent);
    StoreRunLocations writer(*ioContext, { "127.0.0.1", store->port() });
    writer.writeSoon();
    writer.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return store->callCount() == 1; }));
    store->setFault(StoreFault::None);
    writer.note("p2", { "e1", "e2", "r2" });
    CHECK(runUntil([&] { return store->value("runs", "p2").has_value(); }));
    CHECK(store->value("runs", "p1").has_value());
}

TEST(PlatformStore, AVmOfALargeZoneHasItsNotesWrittenByTheReader)
{
    ReaderAndFollower shared(*ioContext);
    auto& target = *shared.readerStore;
    StoreRunLocations readersLocations(*ioContext, { "127.0.0.1", target.port() });
    shared.feeds.handleMessages(
        StoreRunLocations::peerPath, [&](const std::string& body) { return readersLocations.applyFromPeer(body); });
    StoreRunLocations locations(*ioContext, { "127.0.0.1", shared.followerStore->port() });
    locations.useZoneReaders(shared.readers);
    locations.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return target.value("runs", "p1").has_value(); }));
    locations.forget("p1");
    locations.note("p2", { "e1", "", "r2" });
    CHECK(runUntil([&] { return target.value("runs", "p2").has_value() && !target.value("runs", "p1").has_value(); }));
    CHECK_FALSE_TEXT(shared.followerStore->value("runs", "p1").has_value(), "the VM itself should not have written");
}

TEST(PlatformStore, NotesRejectedByTheReaderAreWrittenByTheVmItself)
{
    ReaderAndFollower shared(*ioContext);
    StoreRunLocations locations(*ioContext, { "127.0.0.1", shared.followerStore->port() });
    locations.useZoneReaders(shared.readers);
    locations.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return shared.followerStore->value("runs", "p1").has_value(); }));
}

// Every VM read the whole table of locations periodically to find stale ones.
TEST(PlatformStore, OnlyTheReaderOfALargeZoneLooksForStaleLocations)
{
    ReaderAndFollower shared(*ioContext);
    StoreRunLocations locations(*ioContext, { "127.0.0.1", store->port() });
    locations.useZoneReaders(shared.readers);
    locations.sweep();
    StoreRunLocations readersLocations(*ioContext, { "127.0.0.1", store->port() });
    readersLocations.useZoneReaders(shared.noReaders);
    readersLocations.sweep();
    CHECK(runUntil([&] { return store->callCount() > 0; }));
    CHECK(runUntil([&] { return shared.haveBothRead(); }));
    LONGS_EQUAL(1, store->callCount());
}

TEST(PlatformStore, InvalidNotesOfAnotherVmAreRejected)
{
    StoreRunLocations locations(*ioContext, { "127.0.0.1", store->port() });
    for (const auto* const text : { "", "[]", "{}", "{\"noted\":[],\"forgotten\":[]}", "{\"noted\":{}}" })
        CHECK_FALSE_TEXT(locations.applyFromPeer(text), text);
    CHECK(locations.applyFromPeer("{\"noted\":{\"p1\":7},\"forgotten\":[3]}"));
}

TEST(PlatformStore, AFailedLookupReportsNoLocation)
{
    StoreRunLocations reader(*ioContext, { "127.0.0.1", store->port() });
    for (const auto fault : { StoreFault::Unavailable, StoreFault::Silent, StoreFault::None }) {
        store->setFault(fault);
        bool isAnswered = false;
        bool isKnown = true;
        reader.find("p1", [&](const RunLocationResult& result) {
            isKnown = result.location.has_value();
            isAnswered = true;
        });
        CHECK(runUntil([&] { return isAnswered; }));
        CHECK_FALSE(isKnown);
    }
}
