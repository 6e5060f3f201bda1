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

TEST(PlatformStore, AFeedTellsTheTableAndItsChanges)
{
    store->put("servers", "a", "1");
    Followed followed;
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
    Followed followed;
    followed.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows.size() == 1203; }));
    LONGS_EQUAL(1, followed.snapshots);
}

TEST(PlatformStore, AFeedReadsTheTableAnewAfterItsHistoryHasGone)
{
    store->put("servers", "a", "1");
    Followed followed;
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

TEST(PlatformStore, AFeedKeepsWhatItKnowsThroughAnOutage)
{
    for (const auto fault : { StoreFault::Unavailable, StoreFault::Silent }) {
        store->put("servers", "a", "1");
        Followed followed;
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

TEST(PlatformStore, AVmThatCannotReachTheStoreHearsItsNewsFromAnother)
{
    store->put("op", "config", "1");
    StoreStandIn brokenStore(*ioContext);
    brokenStore.start();
    brokenStore.setFault(StoreFault::Unavailable);

    Followed near;
    near.follow(*ioContext, store->port(), "op");
    VmRegistry nearVms(
        *ioContext, { "127.0.0.1", store->port() }, { "near", "a", {} }, {}, [](const std::vector<VmEntry>&) {});
    PeerFeeds nearFeeds(*ioContext, { "127.0.0.1", 0 }, nearVms);
    nearFeeds.add(near.feed);
    CHECK_FALSE(nearFeeds.start().has_value());
    const SocketAddress nearAddress { "127.0.0.1", nearFeeds.port() };

    Followed far;
    far.follow(*ioContext, brokenStore.port(), "op");
    VmRegistry farVms(*ioContext, { "127.0.0.1", brokenStore.port() }, { "far", "a", {} },
        { { "near", "a", nearAddress } }, [](const std::vector<VmEntry>&) {});
    PeerFeeds farFeeds(*ioContext, { "127.0.0.1", 0 }, farVms);
    farFeeds.add(far.feed);

    CHECK(runUntil([&] { return far.rows["config"] == "1"; }));
    store->put("op", "config", "2");
    CHECK(runUntil([&] { return far.rows["config"] == "2"; }));
}

// A silent store lets the endpoints' long call wait for 20 s; the configuration's feed notices earlier and says so.
TEST(PlatformStore, AFeedThatIsAskedAnewCountsItsCallAsFailed)
{
    Followed followed;
    followed.follow(*ioContext, store->port(), "servers", Milliseconds { 60000 });
    CHECK(runUntil([&] { return followed.snapshots == 1; }));
    store->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return store->callCount() == 2; }));
    bool hasFailed = false;
    followed.feed->onFailure([&] { hasFailed = true; });
    followed.feed->askAnew();
    CHECK_TEXT(hasFailed, "other VMs are asked only when a call has failed");
    store->setFault(StoreFault::None);
    store->put("servers", "a", "1");
    CHECK(runUntil([&] { return followed.rows["a"] == "1"; }));
}

TEST(PlatformStore, AVmHearsItsNewsFromTheReaderOfItsZone)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    shared.readersStore->put("servers", "b", "2");
    shared.readersStore->remove("servers", "a");
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["b"] == "2" && !shared.follower.rows.count("a"); }),
        "the news is in the reader's store only, so it can come from the reader alone");
    CHECK_TEXT(shared.ownStore->callCount() <= 2, "a VM that follows a reader should not ask the store again");
}

TEST(PlatformStore, AVmAsksTheStoreItselfWhenItsReaderHasNotHeardFromIt)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readersStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.putNewerIntoOwnStore("b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
    CHECK_FALSE_TEXT(shared.readers.current().has_value(), "the reader should be passed over for a while");
}

TEST(PlatformStore, AVmGoesOnToTheNextReaderWhenTheFirstOneHasOldNews)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    const auto secondStore = SharedReading::begun(*ioContext);
    Followed second;
    second.follow(*ioContext, secondStore->port(), "servers");
    PeerFeeds secondFeeds(*ioContext, { "127.0.0.1", 0 }, shared.vms);
    secondFeeds.add(second.feed);
    CHECK_FALSE(secondFeeds.start().has_value());
    shared.setReader({ "127.0.0.1", shared.feeds.port() }, { "127.0.0.1", secondFeeds.port() });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readersStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    while (secondStore->version() < shared.readersStore->version())
        secondStore->put("op", "config", "1");
    const auto calls = shared.ownStore->callCount();
    secondStore->put("servers", "b", "2");
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["b"] == "2"; }), "the next reader has the news");
    LONGS_EQUAL_TEXT(calls, shared.ownStore->callCount(), "old news of one VM is no reason to ask the store");
}

// Found by trouble-1 of pwani-pay-grown: the store turned away all readers of a zone and served the zone's other VMs,
// which followed the readers in turn and applied a configuration six seconds late.
TEST(PlatformStore, AVmAsksTheStoreItselfWhenTheStoreTurnsAllReadersAway)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readersStore->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    shared.putNewerIntoOwnStore("b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
}

// A call that only confirms what is known does not wait for news, and the readers may have some before it would end.
TEST(PlatformStore, AVmThatTheStoreIsSilentToGoesOnToItsReadersSoon)
{
    SharedReading shared(*ioContext, readerWait, Milliseconds { 60000 });
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    shared.readersStore->setFault(StoreFault::Unavailable);
    shared.ownStore->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return hasFailed; }));
    const auto calls = shared.ownStore->callCount();
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    CHECK(runUntil([&] { return shared.ownStore->callCount() > calls; }));
    shared.readersStore->setFault(StoreFault::None);
    shared.readersStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
}

// A store that answers nobody is asked once by each VM, and again only after a pause that grows.
TEST(PlatformStore, AVmAsksASilentStoreRarelyBesideItsReaders)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    const SocketAddress address { "127.0.0.1", shared.feeds.port() };
    shared.readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", address }, { "vm3", "a", address },
        { "vm4", "a", address }, { "vm5", "a", address } });
    bool hasFailed = false;
    shared.reader.feed->onFailure([&] { hasFailed = true; });
    for (auto* const asked : { shared.readersStore.get(), shared.ownStore.get() })
        asked->setFault(StoreFault::Unavailable);
    CHECK(runUntil([&] { return hasFailed; }));
    const auto calls = shared.ownStore->callCount();
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.follower.clock.advance(Milliseconds { 1500 });
    int failures = 0;
    shared.follower.feed->onFailure([&] { ++failures; });
    CHECK(runUntil([&] { return failures > 0; }));
    const auto heard = shared.readersStore->callCount() + 3;
    CHECK(runUntil([&] { return shared.readersStore->callCount() > heard; }));
    LONGS_EQUAL_TEXT(calls + 1, shared.ownStore->callCount(), "the clock stands still, so no second call is due");
}

TEST(PlatformStore, ARowIsTakenFromAReaderWhateverItsAge)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    shared.readersStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.reader.rows["b"] == "2"; }));
    shared.readersStore->setFault(StoreFault::Unavailable);
    shared.reader.clock.advance(Milliseconds { 1500 });
    shared.ownStore->setFault(StoreFault::Unavailable);
    CHECK_TEXT(runUntil([&] { return shared.follower.rows["b"] == "2"; }), "its version says that it is news");
}

// The reader was a follower itself, or waits at the store for longer than its knowledge may be old.
TEST(PlatformStore, AVmThatOthersBeginToAskConfirmsWhatItKnows)
{
    SharedReading shared(*ioContext, Milliseconds { 60000 });
    CHECK(runUntil([&] { return shared.reader.rows["a"] == "1"; }));
    shared.reader.clock.advance(Milliseconds { 5000 });
    CHECK(runUntil([&] { return shared.follower.rows["a"] == "1"; }));
    const auto calls = shared.readersStore->callCount();
    CHECK(runUntil([&] { return shared.readersStore->callCount() > calls; }));
    shared.readersStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return shared.follower.rows["b"] == "2"; }));
    CHECK_TEXT(shared.readers.current().has_value(), "the reader should not count as failed");
}

// Found by reading: a VM that has been cut off asks one that has started since. The removal of a row that the first one
// knows happened before the second one's first reading, so no change tells of it.
TEST(PlatformStore, AVmThatStartedAfterARemovalTellsTheWholeTable)
{
    // The two stores stand for one; the first is as the VM that is cut off has seen it last.
    StoreStandIn earlier(*ioContext);
    earlier.start();
    for (auto* const at : { &earlier, store.get() }) {
        at->put("servers", "a", "1");
        at->put("servers", "b", "1");
    }
    Followed cutOff;
    cutOff.follow(*ioContext, earlier.port(), "servers");
    CHECK(runUntil([&] { return cutOff.rows.size() == 2; }));
    earlier.setFault(StoreFault::Silent);
    store->remove("servers", "a");
    Followed started;
    started.follow(*ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return started.snapshots == 1; }));
    cutOff.feed->applyFromPeer(started.feed->encodeChanges(*cutOff.feed->position()));
    CHECK_TEXT(cutOff.rows.count("a") == 0, "the row that is gone should be gone here too");
    LONGS_EQUAL(1, cutOff.rows.count("b"));
}

TEST(PlatformStore, AVmAsksTheStoreItselfWhenItsReaderHasGone)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    // Nobody listens at this address any more: a port of a listener that has been closed.
    const SocketAddress closed { "127.0.0.1", SharedReading::begun(*ioContext)->port() };
    shared.setReader(closed);
    shared.putNewerIntoOwnStore("b", "2");
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

TEST(PlatformStore, AVmThatStartsAgainReadsTheTableAndWritesNothing)
{
    const SocketAddress address { "127.0.0.1", store->port() };
    const VmEntry self { "vm1", "a", { "10.0.0.1", 7200 }, 100 };
    const auto start = [&](const VmEntry& vm, std::size_t& told) {
        return std::make_unique<VmRegistry>(
            *ioContext, address, vm, std::vector<VmEntry> {},
            [&told](const std::vector<VmEntry>& others) { told = others.size() + 1; }, FleetStart::Earlier);
    };
    std::size_t told = 0;
    auto first = start(self, told);
    CHECK(runUntil([&] { return store->value("vms", "vm1").has_value(); }));
    LONGS_EQUAL_TEXT(2, store->callCount(), "a VM that is not in the table enters itself");
    first.reset();
    const auto calls = store->callCount();
    const auto again = start(self, told = 0);
    CHECK(runUntil([&] { return told == 1; }));
    LONGS_EQUAL(calls + 1, store->callCount());
    // It comes back at another address.
    const auto moved = start({ "vm1", "a", { "10.0.0.9", 7200 }, 100 }, told = 0);
    CHECK(runUntil([&] { return store->value("vms", "vm1")->find("10.0.0.9") != std::string::npos; }));
}

// Thirty VMs that were new to the table started at the same moment. Each read the table before any of them was in it,
// and took itself for the only one until it read it again 30 s later; an endpoint that takes 2.3 requests a second from
// all VMs got 34 in four seconds (18 are allowed), because each VM counted for it alone. What settled it:
//     vm0 vms.read others=0 ... 30 s later: vms.read others=29
TEST(PlatformStore, NewcomersThatStartTogetherKnowEachOtherSoon)
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

TEST(PlatformStore, AFeedWaitsForTheReadersOfItsZoneAfterItsFirstReading)
{
    SharedReading shared(*ioContext);
    CHECK(runUntil([&] { return shared.haveBothBegun(); }));
    Followed starting;
    ZoneReaders readers(starting.clock, { "vm6", "a", {} });
    store->put("servers", "a", "1");
    starting.follow(*ioContext, store->port(), "servers", Milliseconds { 60000 });
    starting.feed->follow(readers, SharedReading::sharing);
    CHECK(runUntil([&] { return starting.rows["a"] == "1"; }));
    LONGS_EQUAL(1, store->callCount());
    readers.setOthers({ { "vm1", "a", { "127.0.0.1", shared.feeds.port() } }, { "vm2", "a", {} }, { "vm3", "a", {} },
        { "vm4", "a", {} }, { "vm5", "a", {} } });
    starting.feed->readersKnown();
    while (shared.readersStore->version() < store->version())
        shared.readersStore->put("op", "config", "1");
    shared.readersStore->put("servers", "b", "2");
    CHECK(runUntil([&] { return starting.rows["b"] == "2"; }));
    LONGS_EQUAL_TEXT(1, store->callCount(), "it went on at the reader");
}

TEST(PlatformStore, AVmOfALargeZoneHearsOfOthersFromTheReader)
{
    SharedReading shared(*ioContext);
    shared.feeds.tell(VmRegistry::peerPath, [&shared](const std::string&) { return shared.vms.text(); });
    const SocketAddress address { "127.0.0.1", store->port() };
    CHECK(runUntil([&] { return shared.vms.text().has_value(); }));
    std::size_t count = 0;
    VmRegistry vms(*ioContext, address, { "vm7", "a", { "10.0.0.7", 7200 } }, {},
        [&count](const std::vector<VmEntry>& others) { count = others.size() + 1; });
    vms.useZoneReaders(shared.readers);
    CHECK(runUntil([&] { return count > 0; }));
    LONGS_EQUAL_TEXT(2, count, "the reader's table names vm1 only");
    LONGS_EQUAL_TEXT(1, store->callCount(), "the VM enters itself, and does not read the table at the store");
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
    reader.find("p1", [&](const std::optional<RunLocation>& location) {
        found = location;
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

TEST(PlatformStore, NotesThatTheStoreRefusedAreWrittenOnceItIsBack)
{
    store->setFault(StoreFault::Unavailable);
    StoreRunLocations writer(*ioContext, { "127.0.0.1", store->port() });
    writer.writeSoon();
    writer.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return store->callCount() > 0; }));
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return store->value("runs", "p1").has_value(); }));
}

TEST(PlatformStore, ANoteDoesNotGiveUpTheWriteThatIsUnderWay)
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
    SharedReading shared(*ioContext);
    auto& target = *shared.readersStore;
    StoreRunLocations readersLocations(*ioContext, { "127.0.0.1", target.port() });
    shared.feeds.take(
        StoreRunLocations::peerPath, [&](const std::string& body) { return readersLocations.applyFromPeer(body); });
    StoreRunLocations locations(*ioContext, { "127.0.0.1", shared.ownStore->port() });
    locations.useZoneReaders(shared.readers);
    locations.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return target.value("runs", "p1").has_value(); }));
    locations.forget("p1");
    locations.note("p2", { "e1", "", "r2" });
    CHECK(runUntil([&] { return target.value("runs", "p2").has_value() && !target.value("runs", "p1").has_value(); }));
    CHECK_FALSE_TEXT(shared.ownStore->value("runs", "p1").has_value(), "the VM itself should not have written");
}

TEST(PlatformStore, NotesThatTheReaderDoesNotTakeAreWrittenByTheVmItself)
{
    SharedReading shared(*ioContext);
    StoreRunLocations locations(*ioContext, { "127.0.0.1", shared.ownStore->port() });
    locations.useZoneReaders(shared.readers);
    locations.note("p1", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return shared.ownStore->value("runs", "p1").has_value(); }));
}

TEST(PlatformStore, NotesOfAnotherVmThatCannotBeReadAreRefused)
{
    StoreRunLocations locations(*ioContext, { "127.0.0.1", store->port() });
    for (const auto* const text : { "", "[]", "{}", "{\"noted\":[],\"forgotten\":[]}", "{\"noted\":{}}" })
        CHECK_FALSE_TEXT(locations.applyFromPeer(text), text);
    CHECK(locations.applyFromPeer("{\"noted\":{\"p1\":7},\"forgotten\":[3]}"));
}

TEST(PlatformStore, ALookupThatFailsAnswersThatNothingIsKnown)
{
    StoreRunLocations reader(*ioContext, { "127.0.0.1", store->port() });
    for (const auto fault : { StoreFault::Unavailable, StoreFault::Silent, StoreFault::None }) {
        store->setFault(fault);
        bool isAnswered = false;
        bool isKnown = true;
        reader.find("p1", [&](const std::optional<RunLocation>& location) {
            isKnown = location.has_value();
            isAnswered = true;
        });
        CHECK(runUntil([&] { return isAnswered; }));
        CHECK_FALSE(isKnown);
    }
}
