// The usage duty with a stand-in of the store and of the platform's receiver: one correct report per window, whatever
// happens to its leader.
#include "UsageReporter.h"
#include "RunUntil.h"
#include "StoreLeaderLease.h"
#include "http/HttpExchange.h"
#include "lupinknot/ManualClock.h"
#include "standin/StoreStandIn.h"
#include "standin/UsageStandIn.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr Milliseconds windowLength { 5000 };
constexpr Milliseconds dueAfter { 10000 };
constexpr Milliseconds lease { 3000 };
// The time of day when the clock of the tests is at 0: the beginning of the window before the first one.
constexpr Milliseconds startOfTest { 1'000'000'000 };
constexpr std::uint64_t firstWindow = 200'001;

// A VM that counts, and may lead the duty.
struct UsageVm {
    UsageVm(boost::asio::io_context& ioContext, const ManualClock& clock, const std::string& name,
        const StoreStandIn& store, const UsageStandIn& receiver)
        : era(StoreEra::create(ioContext))
        , server(ioContext, listenAt({ "127.0.0.1", 0 }), [this](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ usage->applyReport(exchange->request().body) ? 200U : 400U, {}, "" });
        })
    {
        CHECK_FALSE(server.start().has_value());
        entry = { name, "a", { "127.0.0.1", server.port() }, 100 };
        usage = std::make_unique<PeerUsage>(
            ioContext, clock, entry, windowLength, [&clock] { return startOfTest + clock.now(); });
        reporter = std::make_unique<UsageReporter>(ioContext, clock,
            UsageDutySettings { { "127.0.0.1", receiver.port() }, { windowLength, dueAfter }, lease }, name,
            SocketAddress { "127.0.0.1", store.port() }, era, *usage, metrics);
    }

    RelayMetrics metrics;
    std::shared_ptr<StoreEra> era;
    HttpServer server;
    VmEntry entry;
    std::unique_ptr<PeerUsage> usage;
    std::unique_ptr<UsageReporter> reporter;
    bool isSuspended { false };
};

} // namespace

TEST_GROUP(UsageReporter)
{
    boost::asio::io_context ioContext;
    ManualClock clock;
    std::unique_ptr<StoreStandIn> store;
    std::unique_ptr<UsageStandIn> receiver;
    std::vector<std::unique_ptr<UsageVm>> vms;

    void setup() override
    {
        // The window before the first one is already due to be fixed.
        clock.advance(Milliseconds { 6000 });
        store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
        receiver = std::make_unique<UsageStandIn>(ioContext);
        receiver->start();
        for (int i = 1; i <= 3; ++i)
            vms.push_back(std::make_unique<UsageVm>(ioContext, clock, "vm" + std::to_string(i), *store, *receiver));
        shareList();
    }

    void teardown() override
    {
        vms.clear();
        receiver.reset();
        store.reset();
    }

    void shareList()
    {
        for (const auto& vm : vms) {
            std::vector<VmEntry> others;
            for (const auto& other : vms) {
                if (other != vm)
                    others.push_back(other->entry);
            }
            vm->usage->setOthers(others);
        }
    }

    // Lets the time pass in steps; all calls of a step are answered within it.
    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 250 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            for (const auto& vm : vms) {
                if (vm->isSuspended)
                    continue;
                vm->usage->step();
                vm->reporter->step();
            }
            ioContext.restart();
            while (ioContext.run_one_for(std::chrono::milliseconds { 3 }) > 0) { }
        }
    }

    void use(UsageVm & vm, const std::string& organisation, int count)
    {
        for (int i = 0; i < count; ++i)
            vm.usage->noteStarted(organisation, clock.now());
    }

    // The index of the VM that has sent the newest report.
    std::size_t leader()
    {
        const auto name = receiver->holders().rbegin()->second.back();
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (vms[i]->entry.name == name)
                return i;
        }
        FAIL("the leader is unknown");
        return 0;
    }

    std::uint64_t reported(std::uint64_t window, const std::string& organisation)
    {
        const auto found = receiver->reports().find(window);
        CHECK_TEXT(found != receiver->reports().end(), "the window should have been reported");
        const auto counts = nlohmann::json::parse(found->second.front()).at("counts");
        return counts.value(organisation, std::uint64_t { 0 });
    }

    void checkReportsAreUnique()
    {
        for (const auto& [window, bodies] : receiver->reports()) {
            for (const auto& body : bodies)
                STRCMP_EQUAL_TEXT(bodies.front().c_str(), body.c_str(), "two reports of a window must be the same");
        }
        for (const auto& [token, holders] : receiver->holders()) {
            for (const auto& holder : holders)
                STRCMP_EQUAL_TEXT(holders.front().c_str(), holder.c_str(), "a token must belong to one VM");
        }
    }
};

TEST(UsageReporter, ReportsEachWindowOnceWithTheCountsOfAllVms)
{
    pass(Milliseconds { 1000 });
    use(*vms[0], "museum", 3);
    use(*vms[1], "museum", 2);
    use(*vms[2], "library", 1);
    pass(Milliseconds { 5000 });
    use(*vms[1], "library", 4);
    pass(Milliseconds { 14000 });
    LONGS_EQUAL(5, reported(firstWindow, "museum"));
    LONGS_EQUAL(1, reported(firstWindow, "library"));
    LONGS_EQUAL(4, reported(firstWindow + 1, "library"));
    LONGS_EQUAL(0, reported(firstWindow + 1, "museum"));
    for (const auto& report : receiver->reports())
        LONGS_EQUAL_TEXT(1, report.second.size(), "each window should be sent once");
    LONGS_EQUAL(1, receiver->holders().size());
}

TEST(UsageReporter, RepeatsTheFixedReportWhenItsAnswerWasLost)
{
    use(*vms[0], "museum", 3);
    pass(Milliseconds { 7000 });
    receiver->setFault(UsageFault::LosesAnswers);
    pass(Milliseconds { 3000 });
    CHECK(receiver->reports().count(firstWindow) > 0);
    // The leader crashes after the report was accepted, and late counts arrive.
    const auto first = leader();
    vms.erase(vms.begin() + static_cast<std::ptrdiff_t>(first));
    use(*vms[0], "museum", 1);
    receiver->setFault(UsageFault::None);
    pass(Milliseconds { 14000 });
    checkReportsAreUnique();
    CHECK_TEXT(receiver->reports().at(firstWindow).size() > 1, "the next leader should repeat the report");
    CHECK(receiver->reports().count(firstWindow + 1) > 0);
}

TEST(UsageReporter, ASuspendedLeaderSendsNothingWhenItResumes)
{
    use(*vms[0], "museum", 1);
    pass(Milliseconds { 11000 });
    const auto first = leader();
    vms[first]->isSuspended = true;
    pass(Milliseconds { 15000 });
    CHECK_TEXT(leader() != first, "another VM should have taken over");
    const auto calls = receiver->callCount();
    const auto second = leader();
    vms[first]->isSuspended = false;
    for (const auto& vm : vms)
        vm->isSuspended = vm != vms[first];
    pass(Milliseconds { 1000 });
    LONGS_EQUAL_TEXT(calls, receiver->callCount(), "the resumed VM must not send before it leads again");
    CHECK(leader() == second);
    checkReportsAreUnique();
}

TEST(UsageReporter, ALeaderWhoseTokenIsRejectedResigns)
{
    use(*vms[0], "museum", 1);
    pass(Milliseconds { 11000 });
    const auto token = receiver->holders().rbegin()->first;
    receiver->seeToken(token + 1);
    const auto calls = receiver->callCount();
    pass(Milliseconds { 6000 });
    CHECK_TEXT(receiver->callCount() <= calls + 2, "a rejected token should not be used again");
    pass(Milliseconds { 14000 });
    CHECK_TEXT(receiver->holders().rbegin()->first > token, "a leader with a higher token should report");
    checkReportsAreUnique();
}

TEST(UsageReporter, ALeaderStaysWhileThePlatformRejectsReports)
{
    use(*vms[0], "museum", 1);
    pass(Milliseconds { 11000 });
    const auto first = leader();
    receiver->setFault(UsageFault::Unavailable);
    pass(Milliseconds { 6000 });
    receiver->setFault(UsageFault::None);
    pass(Milliseconds { 10000 });
    LONGS_EQUAL_TEXT(first, leader(), "no other VM can do better while the platform answers");
    checkReportsAreUnique();
}

TEST(UsageReporter, FixesNoWindowAgainAfterARestoreOfTheStore)
{
    store->keepCopy();
    use(*vms[0], "museum", 3);
    pass(Milliseconds { 12000 });
    CHECK(receiver->reports().count(firstWindow) > 0);
    store->restoreCopy();
    use(*vms[0], "museum", 1);
    pass(Milliseconds { 20000 });
    checkReportsAreUnique();
    LONGS_EQUAL(1, receiver->reports().at(firstWindow).size());
    CHECK_TEXT(receiver->reports().rbegin()->first > firstWindow + 2, "later windows should be reported");
}

// Guards against two reports of one window: a leader that takes over once more removes the fixed report of a window
// that its record states as incomplete.
TEST(UsageReporter, ALeaseDoesNotRemoveTheRowsOfAnEarlierOne)
{
    struct Process {
        Process(boost::asio::io_context& ioContext, const ManualClock& clock, std::int64_t port, const char* name)
            : era(StoreEra::create(ioContext))
            , leadership(ioContext, clock, { "127.0.0.1", port }, era, "usage", name, lease)
        {
        }

        std::shared_ptr<StoreEra> era;
        StoreLeaderLease leadership;
    };
    Process first(ioContext, clock, store->port(), "first");
    Process second(ioContext, clock, store->port(), "second");
    const auto acquire = [&](StoreLeaderLease& leadership) {
        for (int steps = 0; steps < 100 && !leadership.isHeld(); ++steps) {
            clock.advance(lease / 10);
            leadership.advance();
            CHECK(runUntil(ioContext, [&] { return !leadership.isCalling(); }));
        }
        CHECK(leadership.isHeld());
    };
    acquire(first.leadership);
    first.leadership.writeOnce("7", "counts", [](const std::optional<std::string>&) {});
    CHECK(runUntil(ioContext, [&] { return !first.leadership.isCalling(); }));
    first.leadership.complete(7, "7");
    acquire(second.leadership);
    acquire(first.leadership);
    CHECK(first.leadership.completed() < 7);
    CHECK_TEXT(store->value("duty-usage", "7").has_value(), "the fixed report was removed");
}

TEST(UsageReporter, ARowIsRemovedWithTheWriteThatStatesItsWindowComplete)
{
    StoreLeaderLease leadership(
        ioContext, clock, { "127.0.0.1", store->port() }, StoreEra::create(ioContext), "usage", "first", lease);
    const auto advance = [&] {
        clock.advance(lease / 2);
        leadership.advance();
        CHECK(runUntil(ioContext, [&] { return !leadership.isCalling(); }));
    };
    for (int steps = 0; steps < 100 && !leadership.isHeld(); ++steps)
        advance();
    leadership.writeOnce("7", "counts", [](const std::optional<std::string>&) {});
    CHECK(runUntil(ioContext, [&] { return !leadership.isCalling(); }));
    CHECK(store->value("duty-usage", "7").has_value());
    // Completed while a renewal is under way that does not contain it.
    clock.advance(lease / 2);
    leadership.advance();
    leadership.complete(7, "7");
    CHECK(runUntil(ioContext, [&] { return !leadership.isCalling(); }));
    CHECK(store->value("duty-usage", "7").has_value());
    advance();
    CHECK_FALSE(store->value("duty-usage", "7").has_value());
}
