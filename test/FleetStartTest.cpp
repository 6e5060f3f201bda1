// How a large fleet starts: what each VM reads from the store, and what it gets from other VMs instead.
#include <nlohmann/json.hpp>

#include "FeedHarness.h"
#include "RunUntil.h"
#include "VmListText.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

std::string numbered(const std::string& prefix, int number)
{
    const auto digits = std::to_string(number);
    return prefix + std::string(6 - digits.size(), '0') + digits;
}

VmEntry vmOf(int number)
{
    return { numbered("vm", number), "zone-" + std::to_string(number % 5), { "10.1.0.1", 1000 + number },
        number % 100 == 0 ? 1000.0 : 20.0 };
}

std::vector<VmEntry> fleetOf(int count)
{
    std::vector<VmEntry> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        vms.push_back(vmOf(i));
    return vms;
}

// Rows of a table; row i has version i + 1.
std::vector<StoreRow> rowsOf(int count)
{
    std::vector<StoreRow> rows;
    rows.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        rows.push_back({ numbered("e", i), "value", false, static_cast<std::uint64_t>(i + 1) });
    return rows;
}

// A VM of a large zone whose feed may read whole tables from other VMs.
struct StartingVm {
    StartingVm(boost::asio::io_context& ioContext, std::int64_t storePort, std::shared_ptr<StoreEra> era)
        : readers(clock, { "vm9", "a", {}, 20 })
    {
        clock.advance(Milliseconds { 1 });
        StoreFeed::PollTiming timing { Milliseconds { 40 }, Milliseconds { 1 } };
        timing.mayReadTableFromVm = true;
        feed = StoreFeed::start(ioContext, clock, { "127.0.0.1", storePort }, "servers", timing,
            { [this](const std::vector<StoreRow>& rows) {
                 ++snapshots;
                 keys.clear();
                 for (const auto& row : rows)
                     keys.insert(row.key);
             },
                [this](const std::vector<StoreRow>& rows) {
                    for (const auto& row : rows)
                        row.isRemoved ? void(keys.erase(row.key)) : void(keys.insert(row.key));
                } },
            std::move(era));
        feed->follow(readers, ReaderAndFollower::sharing);
    }

    void setSources(const std::vector<SocketAddress>& addresses)
    {
        std::vector<VmEntry> vms;
        for (std::size_t i = 0; i < 8; ++i)
            vms.push_back({ "vm" + std::to_string(i), "a", addresses[i % addresses.size()], 1000 });
        readers.setOthers(vms);
        feed->noteReadersKnown();
    }

    ManualClock clock;
    ZoneReaders readers;
    std::set<std::string> keys;
    int snapshots { 0 };
    std::shared_ptr<StoreFeed> feed;
};

} // namespace

TEST_GROUP(FleetStart)
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

    SocketAddress storeAddress() const { return { "127.0.0.1", store->port() }; }

    // A VM that has read the table of this many endpoints, and serves it.
    std::unique_ptr<ReaderAndFollower> sourceOf(int count)
    {
        auto shared = std::make_unique<ReaderAndFollower>(*ioContext);
        for (int i = 1; i < count; ++i)
            shared->readerStore->put("servers", numbered("e", i), "v");
        CHECK(runUntil([&] { return shared->reader.rows.size() == static_cast<std::size_t>(count); }));
        return shared;
    }
};

// Only the first page of the table was read, so the VMs beyond it did not exist for the others and for themselves.
TEST(FleetStart, AVmBeyondTheFirstPageFindsItselfAndAllOthers)
{
    for (const int count : { 1000, 2000 }) {
        for (const auto& vm : fleetOf(count))
            store->put("vms", vm.name, encodeVm(vm));
        std::size_t known = 0;
        const auto calls = store->callCount();
        VmRegistry vms(
            *ioContext, storeAddress(), vmOf(count - 1), {},
            [&known](const std::vector<VmEntry>& others) { known = others.size() + 1; }, FleetStart::Earlier);
        CHECK(runUntil([&] { return known > 0; }));
        LONGS_EQUAL(count, known);
        CHECK_FALSE(vms.isNewToTable());
        LONGS_EQUAL_TEXT(count / 500, store->callCount() - calls, "the table should be read once, page by page");
    }
}

// Each VM read the whole table of VMs from the store when it started.
TEST(FleetStart, AVmFindsTheReadersOfItsZoneInOneSmallCall)
{
    const auto fleet = fleetOf(2000);
    for (const auto& vm : fleet)
        store->put("vms-by-zone", zoneKey(vm), encodeVm(vm));
    std::vector<VmEntry> first;
    ManualClock clock;
    const auto self = vmOf(1207);
    ZoneReaders readers(clock, self);
    const auto calls = store->callCount();
    VmRegistry vms(
        *ioContext, storeAddress(), self, {}, [](const auto&) {}, FleetStart::Earlier, nullptr, readers,
        [&](const std::vector<VmEntry>& vmsOfZone) { first = vmsOfZone; });
    CHECK(runUntil([&] { return !first.empty(); }));
    LONGS_EQUAL(1, store->callCount() - calls);
    LONGS_EQUAL(VmRegistry::zoneRows, first.size());
    for (const auto& vm : first) {
        STRCMP_EQUAL(self.availabilityZone.c_str(), vm.availabilityZone.c_str());
        // 20 of the zone's 400 VMs have such a link; none of them has a number of another zone.
        if (self.availabilityZone == "zone-0")
            CHECK(vm.linkSpeed > 999);
    }
}

// At a first start all VMs of a zone found too few others there, so each read all tables from the store.
TEST(FleetStart, AVmLooksForReadersAgainWhenTheOthersRegisterAtTheSameTime)
{
    const VmEntry self { "vm9", "a", { "10.1.0.9", 7200 }, 20 };
    std::size_t found = 0;
    int reports = 0;
    ManualClock clock;
    ZoneReaders readers(clock, self);
    VmRegistry vms(
        *ioContext, storeAddress(), self, {}, [](const auto&) {}, FleetStart::Together, nullptr, readers,
        [&](const std::vector<VmEntry>& vmsOfZone) {
            found = vmsOfZone.size();
            ++reports;
        });
    CHECK(runUntil([&] { return store->value("vms", "vm9").has_value(); }));
    LONGS_EQUAL_TEXT(0, reports, "too few VMs were registered to tell whether the zone has a reader");
    for (int i = 0; i < 8; ++i) {
        const VmEntry other { "vm" + std::to_string(i), "a", { "10.1.0.1", 7200 }, 20 };
        store->put("vms-by-zone", zoneKey(other), encodeVm(other));
    }
    CHECK(runUntil([&] { return reports == 1; }));
    LONGS_EQUAL(8, found);
}

TEST(FleetStart, KeysOfAZoneSortByRank)
{
    std::mt19937 random(1);
    std::vector<VmEntry> vms;
    vms.reserve(300);
    for (int i = 0; i < 300; ++i)
        vms.push_back({ numbered("vm", i), "a", {}, static_cast<double>(random() % 3 * 490 + 10) });
    auto byKey = vms;
    std::sort(byKey.begin(), byKey.end(),
        [](const VmEntry& left, const VmEntry& right) { return zoneKey(left) < zoneKey(right); });
    std::sort(vms.begin(), vms.end(), ranksBefore);
    for (std::size_t i = 0; i < vms.size(); ++i)
        STRCMP_EQUAL(vms[i].name.c_str(), nameInZoneKey(zoneKey(byKey[i])).c_str());
}

// Each VM wrote its own row, and the store limits the writes to one part.
TEST(FleetStart, AReaderRegistersManyVmsInFewTransactions)
{
    constexpr int count = 400;
    VmRegistry reader(
        *ioContext, storeAddress(), vmOf(5000), {}, [](const auto&) {}, FleetStart::Earlier);
    CHECK(runUntil([&] { return reader.list("").has_value(); }));
    const auto calls = store->callCount();
    for (const auto& vm : fleetOf(count))
        CHECK(reader.applyRegistration(encodeRegistration(vm)));
    // The reader serves the new VMs as soon as they are written.
    CHECK(runUntil([&] { return decodeVmList(*reader.list(""))->vms->size() >= count; }));
    CHECK(store->keys("vms").size() >= count);
    LONGS_EQUAL(store->keys("vms").size(), store->keys("vms-by-zone").size());
    // Nine for the registrations, and at most two for the reader's own.
    CHECK_TEXT(store->callCount() - calls <= 11, "registrations should share transactions");
}

TEST(FleetStart, ARegistrationIsRepeatedUntilTheStoreAcceptsIt)
{
    VmRegistry reader(
        *ioContext, storeAddress(), vmOf(5000), {}, [](const auto&) {}, FleetStart::Earlier);
    CHECK(runUntil([&] { return reader.list("").has_value(); }));
    store->setFault(StoreFault::Unavailable);
    CHECK(reader.applyRegistration(encodeRegistration(vmOf(7))));
    const auto calls = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > calls; }));
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return store->value("vms", vmOf(7).name).has_value(); }));
}

TEST(FleetStart, InvalidRegistrationsAreRejected)
{
    VmRegistry reader(*ioContext, storeAddress(), vmOf(1), {}, [](const auto&) {});
    for (const auto* const text : { "", "{}", "[]", "[\"vm\"]", "[\"\",\"a\",\"10.0.0.1\",1,2]", "[1,2,3,4,5]" })
        CHECK_FALSE_TEXT(reader.applyRegistration(text), text);
}

// All VMs of a zone got the whole list from the reader periodically, although it rarely changes.
TEST(FleetStart, AnUnchangedListOfVmsIsNotSentAgain)
{
    const auto fleet = fleetOf(2000);
    const auto version = versionOf(fleet);
    const auto text = encodeVmList(fleet, version);
    CHECK_TEXT(text.size() < 130'000, std::to_string(text.size()).c_str());
    const auto decoded = decodeVmList(text);
    LONGS_EQUAL(2000, decoded->vms->size());
    STRCMP_EQUAL(version.c_str(), versionOf(*decoded->vms).c_str());
    const auto unchanged = encodeVmListVersion(version);
    CHECK(unchanged.size() < 50);
    CHECK_FALSE(decodeVmList(unchanged)->vms.has_value());
}

// Each VM read the whole list of endpoints from the store when it started.
TEST(FleetStart, TheListOfEndpointsIsReadFromOtherVmsInPages)
{
    const auto source = sourceOf(1203);
    StartingVm starting(*ioContext, store->port(), nullptr);
    starting.setSources({ { "127.0.0.1", source->feeds.port() } });
    CHECK(runUntil([&] { return starting.snapshots == 1; }));
    LONGS_EQUAL(1203, starting.keys.size());
    LONGS_EQUAL_TEXT(0, store->callCount(), "the store should not be called");
    source->readerStore->remove("servers", numbered("e", 7));
    CHECK(runUntil([&] { return starting.keys.size() == 1202; }));
    LONGS_EQUAL(1, starting.snapshots);
}

TEST(FleetStart, AVmWaitsForASourceThatIsStillReadingTheList)
{
    ReaderAndFollower source(*ioContext);
    source.readerStore->setFault(StoreFault::Unavailable);
    StartingVm starting(*ioContext, store->port(), nullptr);
    starting.setSources({ { "127.0.0.1", source.feeds.port() } });
    for (int i = 0; i < 60; ++i)
        ioContext->run_one_for(std::chrono::milliseconds { 10 });
    LONGS_EQUAL(0, starting.snapshots);
    source.readerStore->setFault(StoreFault::None);
    CHECK(runUntil([&] { return starting.snapshots == 1; }));
    LONGS_EQUAL_TEXT(0, store->callCount(), "the store should not be called");
}

TEST(FleetStart, AVmReadsTheStoreWhenNoSourceIsReachable)
{
    store->put("servers", "e1", "v");
    StartingVm starting(*ioContext, store->port(), nullptr);
    starting.setSources({ { "127.0.0.1", 1 }, { "127.0.0.1", 2 } });
    CHECK(runUntil([&] { return starting.snapshots == 1; }));
    LONGS_EQUAL(1, starting.keys.size());
}

TEST(FleetStart, AVmReadsTheStoreWhenTheReadersOfItsZoneAreUnknown)
{
    store->put("servers", "e1", "v");
    StartingVm starting(*ioContext, store->port(), nullptr);
    starting.feed->noteReadersKnown();
    CHECK(runUntil([&] { return starting.snapshots == 1; }));
}

// After a gap in the store's history a reader sent the whole list to each of its followers.
TEST(FleetStart, FollowersGetOnlyChangesAfterAGapInTheHistory)
{
    TableHistory history("servers");
    auto rows = rowsOf(20000);
    CHECK(history.startRequest(0));
    CHECK(history.applyResponse(rows, false, { 0, 20000 }).has_value());
    const HistoryPosition follower { 0, 20000 };
    history.noteHistoryGone(0);
    CHECK(history.startRequest(0));
    rows.erase(rows.begin());
    rows.push_back({ "new", "value", false, 20007 });
    CHECK(history.applyResponse(rows, false, { 0, 20010 }).has_value());
    CHECK_FALSE(history.needsPages(follower));
    const auto changes = nlohmann::json::parse(history.encodeChanges(follower, Milliseconds { 5 }));
    LONGS_EQUAL(2, changes.at("rows").size());
    LONGS_EQUAL(5, changes.at(RowTable::ageField).get<int>());
    LONGS_EQUAL(20010, changes.at("ver").get<int>());
}

TEST(FleetStart, AVmOfAnEarlierEraIsToldToReadThePages)
{
    TableHistory history("servers");
    history.startRequest(1);
    history.applyResponse(rowsOf(600), false, { 1, 700 });
    CHECK(history.needsPages({ 0, 9000 }));
    const auto text = history.encodeReadAgain(Milliseconds { 5 });
    CHECK_TEXT(text.size() < 100, "the answer should not hold the rows");
    CHECK(nlohmann::json::parse(text).at(TableHistory::readAgainField).get<bool>());
}

TEST(FleetStart, PagesHoldEachRowOnce)
{
    TableHistory history("servers");
    history.startRequest(0);
    history.applyResponse(rowsOf(20000), false, { 0, 20000 });
    std::set<std::string> seen;
    std::string after;
    int pages = 0;
    for (bool hasMore = true; hasMore; ++pages) {
        const auto page = nlohmann::json::parse(history.encodePage(after, Milliseconds { 0 }));
        hasMore = page.at("more-pages").get<bool>();
        for (const auto& row : page.at("rows"))
            seen.insert(row.at("key").get<std::string>());
        after = page.at("rows").back().at("key").get<std::string>();
    }
    LONGS_EQUAL(40, pages);
    LONGS_EQUAL(20000, seen.size());
}

// Endpoints restart under new ids, and the rows of all earlier ones stayed in memory.
TEST(FleetStart, OldRemovalsAreForgotten)
{
    TableHistory history("servers");
    history.startRequest(0);
    history.applyResponse({ { "e", "value", false, 1 } }, false, { 0, 1 });
    std::uint64_t version = 1;
    for (int i = 0; i < 10000; ++i) {
        history.startRequest(0);
        const auto added = ++version;
        history.applyResponse({ { numbered("e", i), "value", false, added } }, false, { 0, added });
        history.startRequest(0);
        const auto removed = ++version;
        history.applyResponse({ { numbered("e", i), "", true, removed } }, false, { 0, removed });
    }
    const auto changes
        = nlohmann::json::parse(history.encodeChanges({ 0, version - 1000 }, Milliseconds { 0 })).at("rows");
    LONGS_EQUAL(500, changes.size());
    // A VM whose position is older than the kept removals gets the whole table.
    const auto whole = nlohmann::json::parse(history.encodeChanges({ 0, 2 }, Milliseconds { 0 }));
    CHECK(whole.at(RowTable::wholeField).get<bool>());
}
