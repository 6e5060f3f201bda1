#include "StoreServiceVersions.h"
#include "RunUntil.h"
#include "ZoneReaders.h"
#include "lupinknot/ManualClock.h"
#include "standin/StoreStandIn.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// A VM that follows the versions of its endpoints.
struct VersionsVm {
    VersionsVm(boost::asio::io_context& ioContext, const StoreStandIn& store, bool isFirstStart)
        : era(StoreEra::create(ioContext))
        , directory(ioContext, settings)
        , readers(clock, { "vm", "a", { "127.0.0.1", 1 } })
        , versions(ioContext, clock, { "127.0.0.1", store.port() }, era, directory, readers, isFirstStart, "vm")
    {
        readers.setOthers({});
    }

    void list(const std::string& id, const std::string& version)
    {
        directory.upsert({ id, "s", { "10.0.0.1", std::stoi(id) }, "a", 4, false, version }, clock.now());
    }
    std::string only() { return directory.versions().onlyVersion("s", clock.now()).value_or("none"); }

    RelaySettings settings;
    ManualClock clock;
    std::shared_ptr<StoreEra> era;
    EndpointDirectory directory;
    ZoneReaders readers;
    StoreServiceVersions versions;
};

} // namespace

TEST_GROUP(StoreServiceVersions)
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
    bool hasRow(const std::string& version) const { return store->value("versions", "s " + version).has_value(); }
};

// Guards against a VM that starts after a version has left and takes the remaining one for the only one.
TEST(StoreServiceVersions, AVmThatStartsLearnsTheVersionThatHasLeft)
{
    {
        VersionsVm first(*ioContext, *store, true);
        first.list("1", "v1");
        STRCMP_EQUAL("v1", first.only().c_str());
        CHECK(runUntil([&] { return hasRow("v1"); }));
        first.directory.remove("1", first.clock.now());
        first.list("2", "v2");
        CHECK(runUntil([&] { return hasRow("v2"); }));
    }
    VersionsVm second(*ioContext, *store, false);
    second.list("2", "v2");
    STRCMP_EQUAL("none", second.only().c_str());
    CHECK(runUntil([&] { return second.directory.versions().isHistoryKnown(second.clock.now()); }));
    STRCMP_EQUAL("none", second.only().c_str());
    CHECK(second.directory.versions().lastListedAt("s", "v1").has_value());
}

TEST(StoreServiceVersions, AVmThatStartsNamesTheOnlyVersionOnceItHasReadTheTable)
{
    store->put("versions", "s v1", "{}");
    store->setFault(StoreFault::Unavailable);
    VersionsVm vm(*ioContext, *store, false);
    vm.list("1", "v1");
    const auto calls = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > calls; }));
    STRCMP_EQUAL("none", vm.only().c_str());
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return vm.only() == "v1"; }));
}

// Guards against versions that are forgotten when the store goes back in time.
TEST(StoreServiceVersions, WritesTheRowsAgainAfterARestore)
{
    store->keepCopy();
    VersionsVm vm(*ioContext, *store, true);
    vm.list("1", "v1");
    CHECK(runUntil([&] { return hasRow("v1"); }));
    store->restoreCopy();
    CHECK_FALSE(hasRow("v1"));
    vm.list("2", "v2");
    CHECK(runUntil([&] { return hasRow("v2"); }));
    CHECK(runUntil([&] { return hasRow("v1"); }));
}

// Guards against a table that grows with each release.
TEST(StoreServiceVersions, RemovesTheRowOfAVersionThatIsNotInUse)
{
    VersionsVm vm(*ioContext, *store, true);
    vm.list("1", "v1");
    vm.list("2", "v2");
    CHECK(runUntil([&] { return hasRow("v1") && hasRow("v2"); }));
    vm.directory.remove("1", vm.clock.now());
    vm.clock.advance(vm.settings.streamLifetime + Milliseconds { 1 });
    vm.directory.dropExpired(vm.clock.now());
    // The answer to the last write may still be on its way.
    CHECK(runUntil([&] {
        vm.versions.sweep();
        return !hasRow("v1");
    }));
    CHECK(hasRow("v2"));
}

TEST(StoreServiceVersions, IgnoresRowsThatNameNoVersion)
{
    store->put("versions", "x", "{}");
    store->put("versions", "s v1", "not json");
    VersionsVm vm(*ioContext, *store, false);
    vm.list("1", "v1");
    CHECK(runUntil([&] { return vm.only() == "v1"; }));
}
