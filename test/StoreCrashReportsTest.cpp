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

// A VM as far as it hears of crashed endpoints.
struct Vm {
    Vm(boost::asio::io_context& ioContext, const SocketAddress& store, const std::string& name,
        Milliseconds longestWait = Milliseconds { 1000 })
        : directory(ioContext, settings)
        , guard(ioContext, clock, settings, directory)
        , era(StoreEra::create(ioContext))
        , reports(ioContext, clock, store, name, guard, era)
    {
        guard.setReports(&reports);
        feed = StoreFeed::start(ioContext, clock, store, StoreCrashReports::tableName,
            { longestWait, Milliseconds { 1 } },
            { [this](const std::vector<StoreRow>& rows) { reports.takeAll(rows); },
                [this](const std::vector<StoreRow>& rows) { reports.takeChanges(rows); },
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

    bool isHeldAt(const Vm& vm) const { return vm.guard.quarantineStatus(digest) == QuarantineStatus::Held; }
};

TEST(StoreCrashReports, WhatVmsFindTogetherHoldsARequestAtAllOfThem)
{
    publish(*one, 1, 2);
    publish(*other, 3, 3);
    CHECK(runUntil([&] { return isHeldAt(*one) && isHeldAt(*other); }));
}

// All VMs were ended at once and started again, and the same request came to them.
TEST(StoreCrashReports, AVmThatStartsAgainKnowsWhatWasFoundBefore)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isHeldAt(*other); }));
    one.reset();
    other.reset();
    one = newVm("vm1");
    CHECK(runUntil([&] { return isHeldAt(*one); }));
}

TEST(StoreCrashReports, WhatIsTakenBackCountsNowhere)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isHeldAt(*other); }));
    other->guard.noteHarmless(digest);
    CHECK(runUntil([&] { return !isHeldAt(*one) && !store->value("crashes", digest + "/e1"); }));
    CHECK_FALSE(isHeldAt(*other));
}

// The store came back from a copy without the records: every VM took them for withdrawn, and the request went on.
TEST(StoreCrashReports, WhatTheStoreHasLostIsWrittenAgainAndHoldsTheRequest)
{
    store->keepCopy();
    publish(*one, 1, 2);
    publish(*other, 3, 3);
    CHECK(runUntil([&] { return isHeldAt(*one) && isHeldAt(*other); }));
    store->restoreCopy();
    CHECK(runUntil([&] { return one->feed->position()->era == 1 && other->feed->position()->era == 1; }));
    CHECK(isHeldAt(*one) && isHeldAt(*other));
    CHECK_TEXT(
        runUntil([&] { return store->value("crashes", digest + "/e1") && store->value("crashes", digest + "/e3"); }),
        "each VM writes again what it had written, for VMs that start later");
}

// The copy holds records that were taken back since: the request that was served would be held again.
TEST(StoreCrashReports, WhatWasTakenBackStaysSoWhenTheStoreHasItAgain)
{
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isHeldAt(*other); }));
    store->keepCopy();
    other->guard.noteHarmless(digest);
    CHECK(runUntil([&] { return !isHeldAt(*one) && !store->value("crashes", digest + "/e1"); }));
    store->restoreCopy();
    CHECK(store->value("crashes", digest + "/e1").has_value());
    CHECK(runUntil([&] { return one->feed->position()->era == 1 && other->feed->position()->era == 1; }));
    CHECK_FALSE(isHeldAt(*one) || isHeldAt(*other));
    CHECK_TEXT(runUntil([&] { return !store->value("crashes", digest + "/e1"); }), "it is taken back there, too");
}

TEST(StoreCrashReports, WritesAgainWhatAStoreThatWasAwayHasNotTaken)
{
    store->setFault(StoreFault::Unavailable);
    publish(*one, 1, 3);
    const auto before = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > before + 2; }));
    store->setFault(StoreFault::None);
    CHECK(runUntil([&] { return isHeldAt(*other); }));
}

// Found by the soak, seed 205: the store fell silent for a moment and swallowed the long wait for news; VMs that were
// in touch again sent a request on to five more endpoints in the seconds until that wait was over.
TEST(StoreCrashReports, HearsSoonAgainFromAStoreThatHasSwallowedItsLongWait)
{
    Vm patient(ioContext, SocketAddress { "127.0.0.1", store->port() }, "vm3", Milliseconds { 60'000 });
    const auto quick = StoreFeed::start(ioContext, patient.clock, SocketAddress { "127.0.0.1", store->port() }, "op",
        { Milliseconds { 200 }, Milliseconds { 1 } }, { [](auto) {}, [](auto) {} });
    quick->onFailure([&patient] { patient.feed->askAnew(); });
    CHECK(runUntil([&] { return patient.feed->position() && quick->position(); }));
    const auto before = store->callCount();
    CHECK(runUntil([&] { return store->callCount() > before + 1; }));
    store->setFault(StoreFault::Silent);
    CHECK(runUntil([&] { return store->callCount() > before + 3; }));
    store->setFault(StoreFault::None);
    publish(*one, 1, 3);
    CHECK(runUntil([&] { return isHeldAt(patient); }));
}

TEST(StoreCrashReports, ARowThatIsShownAgainAfterAGapDoesNotUndoAClearance)
{
    for (const auto* id : { "/e1", "/e2", "/e3" })
        one->reports.takeChanges(
            { { digest + id, std::string(R"({"address":"at )") + id + R"(","weight":1,"worked-ms":60})", false, 9 } });
    CHECK(isHeldAt(*one));
    one->guard.noteHarmless(digest);
    one->reports.takeAll({ { digest + "/e1", R"({"address":"10.0.0.1:80","weight":1,"worked-ms":60})", false, 91 } });
    CHECK_FALSE(one->guard.isSuspect(digest));
}

TEST(StoreCrashReports, PassesOverRowsThatItCannotRead)
{
    for (const auto& value : { "", "{", "[]", "{}", R"({"address":1,"weight":1,"worked-ms":60})",
             R"({"address":"a","weight":"1","worked-ms":60})", "\xff\xfe" })
        one->reports.takeChanges({ { digest + "/e1", value, false, 1 } });
    one->reports.takeChanges({ { "no digest", R"({"address":"a","weight":1,"worked-ms":60})", false, 1 } });
    one->reports.takeChanges({ { "short/e1", R"({"address":"a","weight":1,"worked-ms":60})", false, 1 } });
    CHECK_FALSE(one->guard.isSuspect(digest));
    CHECK_FALSE(one->guard.isSuspect("short"));
}

TEST(StoreCrashReports, NoRowCountsForMoreThanAFullSuspicion)
{
    for (const auto* id : { "/e1", "/e2" })
        one->reports.takeChanges({ { digest + id, R"({"address":"a","weight":99,"worked-ms":60})", false, 1 } });
    CHECK(one->guard.isSuspect(digest));
    CHECK_FALSE(isHeldAt(*one));
}

TEST(StoreCrashReports, SweepsRowsThatCountNoMore)
{
    publish(*one, 1, 1);
    CHECK(runUntil([&] { return one->guard.isSuspect(digest) || other->guard.isSuspect(digest); }));
    CHECK(runUntil([&] { return store->value("crashes", digest + "/e1").has_value(); }));
    other->reports.sweep();
    CHECK_TEXT(store->value("crashes", digest + "/e1"), "it is still young");
    CHECK(runUntil([&] { return other->guard.isSuspect(digest); }));
    other->clock.advance(2 * Quarantine::recordLifetime);
    other->reports.sweep();
    CHECK(runUntil([&] { return !store->value("crashes", digest + "/e1"); }));
}
