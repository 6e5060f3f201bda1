#include "StoreCrashReports.h"
#include "PlatformCallProtocol.h"
#include "RunUntil.h"
#include "StoreFeed.h"
#include "lupinknot/ManualClock.h"
#include "relay/RelayDaemon.h"
#include "relay/RelaySettings.h"
#include "standin/StoreStandIn.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// The parts of a VM that share crash records.
struct Vm {
    Vm(boost::asio::io_context& ioContext, const SocketAddress& store, const std::string& name,
        Milliseconds maxWait = Milliseconds { 1000 })
        : directory(ioContext, settings)
        , guard(ioContext, clock, settings, directory)
        , era(StoreEra::create(ioContext))
        , reports(ioContext, clock, store, name, guard, era)
    {
        guard.setReports(&reports);
        feed = StoreFeed::start(ioContext, clock, store, StoreCrashReports::tableName, { maxWait, Milliseconds { 1 } },
            { [this](const std::vector<StoreRow>& rows) { reports.applyAll(rows); },
                [this](const std::vector<StoreRow>& rows) { reports.applyChanges(rows); },
                [this] { reports.storeRestored(); } },
            era);
    }

    RelaySettings settings;
    ManualClock clock;
    EndpointDirectory directory;
    CrashGuard guard;
    std::shared_ptr<StoreEra> era;
    StoreCrashReports reports;
    std::shared_ptr<StoreFeed> feed;
};

} // namespace

TEST_GROUP(StoreCrashReports)
{
    boost::asio::io_context ioContext;
    std::unique_ptr<StoreStandIn> store;
    std::unique_ptr<Vm> one;
    std::unique_ptr<Vm> other;
    const std::string digest = std::string(48, 'd');

    void setup() override
    {
        store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
        one = newVm("vm1");
        other = newVm("vm2");
    }

    void teardown() override
    {
        one.reset();
        other.reset();
        store.reset();
    }

    std::unique_ptr<Vm> newVm(const std::string& name)
    {
        return std::make_unique<Vm>(ioContext, SocketAddress { "127.0.0.1", store->port() }, name);
    }

    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(ioContext, condition); }

    CrashRecord record(int number) const
    {
        return { digest, "e" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", 1,
            Milliseconds { 60 } };
    }

    void publish(Vm & vm, int first, int last)
    {
        for (int i = first; i <= last; ++i)
            vm.reports.publish(record(i));
    }

    bool isQuarantinedAt(const Vm& vm) const { return vm.guard.quarantineStatus(digest) == QuarantineStatus::Held; }
};

TEST(StoreCrashReports, RecordsOfSeveralVmsQuarantineARequestAtAllOfThem)
{
    publish(*one, 1, 2);
    publish(*other, 3, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(*one) && isQuarantinedAt(*other); }));
}

// All VMs are killed at once and restarted, and the same request reaches them again.
TEST(StoreCrashReports, ARestartedVmKnowsEarlierRecords)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(*other); }));
    one.reset();
    other.reset();
    one = newVm("vm1");
    CHECK(runUntil([&] { return isQuarantinedAt(*one); }));
}

TEST(StoreCrashReports, AWithdrawnRecordCountsNowhere)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(*other); }));
    other->guard.noteHarmless(digest);
    CHECK(runUntil([&] { return !isQuarantinedAt(*one) && !store->value("crashes", digest + "/e1"); }));
    CHECK_FALSE(isQuarantinedAt(*other));
}

// A restore of the store from a copy without the records made every VM treat them as withdrawn, and the request was
// sent on.
TEST(StoreCrashReports, LostRecordsAreWrittenAgainAndQuarantineTheRequest)
{
    store->keepCopy();
    publish(*one, 1, 2);
    publish(*other, 3, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(*one) && isQuarantinedAt(*other); }));
    store->restoreCopy();
    CHECK(runUntil([&] { return one->feed->position()->era == 1 && other->feed->position()->era == 1; }));
    CHECK(isQuarantinedAt(*one) && isQuarantinedAt(*other));
    CHECK_TEXT(
        runUntil([&] { return store->value("crashes", digest + "/e1") && store->value("crashes", digest + "/e3"); }),
        "each VM should rewrite its own records for VMs that start later");
}

// The store's copy holds records that were withdrawn later: a request that was served harmlessly would be quarantined
// again.
TEST(StoreCrashReports, AWithdrawnRecordStaysWithdrawnAfterARestore)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(*other); }));
    store->keepCopy();
    other->guard.noteHarmless(digest);
    CHECK(runUntil([&] { return !isQuarantinedAt(*one) && !store->value("crashes", digest + "/e1"); }));
    store->restoreCopy();
    CHECK(store->value("crashes", digest + "/e1").has_value());
    CHECK(runUntil([&] { return one->feed->position()->era == 1 && other->feed->position()->era == 1; }));
    CHECK_FALSE(isQuarantinedAt(*one) || isQuarantinedAt(*other));
    CHECK_TEXT(runUntil([&] { return !store->value("crashes", digest + "/e1"); }),
        "the record should be removed from the store too");
}

TEST(StoreCrashReports, RetriesWritesThatAnUnavailableStoreRejected)
{
    store->setFault(StoreFault::Unavailable);
    publish(*one, 1, 3);
    const auto before = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > before + 2; }));
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return isQuarantinedAt(*other); }));
}

// The store stopped responding for a moment and dropped the feed's long poll. VMs that had reached the store again sent
// a request to five more endpoints in the seconds until that poll timed out.
TEST(StoreCrashReports, RecoversSoonFromALostLongPoll)
{
    Vm slowPoller(ioContext, SocketAddress { "127.0.0.1", store->port() }, "vm3", Milliseconds { 60'000 });
    const auto fastFeed = StoreFeed::start(ioContext, slowPoller.clock, SocketAddress { "127.0.0.1", store->port() },
        "op", { Milliseconds { 200 }, Milliseconds { 1 } }, { [](auto) {}, [](auto) {} });
    fastFeed->onFailure([&slowPoller] { slowPoller.feed->restartCall(); });
    CHECK(runUntil([&] { return slowPoller.feed->position() && fastFeed->position(); }));
    const auto before = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > before + 1; }));
    store->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return store->callCount() > before + 3; }));
    store->setFault(StoreFault::None);
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isQuarantinedAt(slowPoller); }));
}

TEST(StoreCrashReports, ARowReadAgainAfterAGapDoesNotUndoAClearance)
{
    for (const auto* id : { "/e1", "/e2", "/e3" })
        one->reports.applyChanges(
            { { digest + id, std::string(R"({"address":"at )") + id + R"(","weight":1,"worked-ms":60})", false, 9 } });
    CHECK(isQuarantinedAt(*one));
    one->guard.noteHarmless(digest);
    one->reports.applyAll({ { digest + "/e1", R"({"address":"10.0.0.1:80","weight":1,"worked-ms":60})", false, 91 } });
    CHECK_FALSE(one->guard.isSuspect(digest));
}

TEST(StoreCrashReports, IgnoresInvalidRows)
{
    for (const auto& value : { "", "{", "[]", "{}", R"({"address":1,"weight":1,"worked-ms":60})",
             R"({"address":"a","weight":"1","worked-ms":60})", "\xff\xfe" })
        one->reports.applyChanges({ { digest + "/e1", value, false, 1 } });
    one->reports.applyChanges({ { "no digest", R"({"address":"a","weight":1,"worked-ms":60})", false, 1 } });
    one->reports.applyChanges({ { "short/e1", R"({"address":"a","weight":1,"worked-ms":60})", false, 1 } });
    CHECK_FALSE(one->guard.isSuspect(digest));
    CHECK_FALSE(one->guard.isSuspect("short"));
}

TEST(StoreCrashReports, NoRowCountsForMoreThanAFullSuspicion)
{
    for (const auto* id : { "/e1", "/e2" })
        one->reports.applyChanges({ { digest + id, R"({"address":"a","weight":99,"worked-ms":60})", false, 1 } });
    CHECK(one->guard.isSuspect(digest));
    CHECK_FALSE(isQuarantinedAt(*one));
}

TEST(StoreCrashReports, RemovesExpiredRows)
{
    publish(*one, 1, 1);
    CHECK(runUntil([&] { return one->guard.isSuspect(digest) || other->guard.isSuspect(digest); }));
    CHECK(runUntil([&] { return store->value("crashes", digest + "/e1").has_value(); }));
    other->reports.sweep();
    CHECK_TEXT(store->value("crashes", digest + "/e1"), "the record has not expired");
    CHECK(runUntil([&] { return other->guard.isSuspect(digest); }));
    other->clock.advance(2 * Quarantine::recordLifetime);
    other->reports.sweep();
    CHECK(runUntil([&] { return !store->value("crashes", digest + "/e1"); }));
}
