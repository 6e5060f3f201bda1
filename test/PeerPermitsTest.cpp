#include "PeerPermits.h"
#include "PeerFeeds.h"
#include "RunUntil.h"
#include "lupinknot/ManualClock.h"
#include "standin/StoreStandIn.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// Longer than this process is ever suspended. A VM that is gone refuses connections at once.
constexpr Milliseconds callTimeout { 10000 };
// The time that a request and its answer take.
constexpr Milliseconds requestTime { 1 };

// A VM with an address at which other VMs call it.
struct TestVm {
    TestVm(boost::asio::io_context& ioContext, const Clock& clock, const std::string& name, std::int64_t storePort)
        : registry(ioContext, { "127.0.0.1", storePort }, { name, "a", {} }, {}, [](const auto&) {})
        , feeds(std::make_unique<PeerFeeds>(ioContext, SocketAddress { "127.0.0.1", 0 }, registry))
    {
        CHECK_FALSE(feeds->start().has_value());
        entry = { name, "a", { "127.0.0.1", feeds->port() } };
        permits = std::make_unique<PeerPermits>(ioContext, clock, entry, callTimeout);
        feeds->handleExchanges(
            PeerPermits::requestPath, [this](const std::string& body) { return permits->answer(body); });
        feeds->handleMessages(
            PeerPermits::reportPath, [this](const std::string& body) { return permits->applyReport(body); });
    }

    VmRegistry registry;
    std::unique_ptr<PeerFeeds> feeds;
    VmEntry entry;
    std::unique_ptr<PeerPermits> permits;
};

} // namespace

TEST_GROUP(PeerPermits)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<StoreStandIn> store;
    ManualClock clock;
    std::vector<std::unique_ptr<TestVm>> vms;

    void setup() override
    {
        clock.advance(Milliseconds { 1000 });
        ioContext = std::make_unique<boost::asio::io_context>();
        store = std::make_unique<StoreStandIn>(*ioContext);
        store->start();
    }

    void teardown() override
    {
        vms.clear();
        store.reset();
        ioContext.reset();
    }

    void addVms(int count)
    {
        for (int i = 0; i < count; ++i)
            vms.push_back(std::make_unique<TestVm>(*ioContext, clock, "vm" + std::to_string(i), store->port()));
        std::vector<VmEntry> all;
        for (const auto& vm : vms)
            all.push_back(vm->entry);
        for (const auto& vm : vms) {
            vm->permits->setOthers(all);
            vm->permits->listWasRead(Milliseconds { 0 });
        }
    }

    // The indexes of the endpoint's limit keepers, by rank.
    std::vector<std::size_t> keepersOf(const std::string& endpoint) const
    {
        std::vector<KeeperCandidate> candidates;
        for (const auto& vm : vms)
            candidates.push_back({ vm->entry.address.text(), vm->entry.availabilityZone });
        return chooseEndpointKeepers(endpoint, candidates);
    }

    PermitAnswer ask(std::size_t vm, double perSecond)
    {
        std::optional<PermitAnswer> got;
        vms[vm]->permits->ask({ "e1", { perSecond, Milliseconds { 0 } }, Milliseconds { 0 } },
            [&got](const PermitAnswer& answer) { got = answer; });
        CHECK(runUntil(*ioContext, [&got] { return got.has_value(); }));
        clock.advance(requestTime);
        return *got;
    }

    // All VMs request permits in turn until the time is over; VM 1 sends nine of ten requests. Returns the number of
    // permits.
    int permitsGrantedWithin(Milliseconds time, double perSecond)
    {
        int granted = 0;
        const auto end = clock.now() + time;
        for (std::size_t i = 0; clock.now() < end; ++i)
            granted += ask(i % 10 == 0 ? (i / 10) % vms.size() : 1, perSecond).isGranted;
        return granted;
    }
};

// If each VM counted an endpoint's limit for itself, each would send the endpoint requests up to the whole limit.
TEST(PeerPermits, AllVmsTogetherStayWithinTheEndpointLimit)
{
    addVms(7);
    const auto granted = permitsGrantedWithin(Milliseconds { 2000 }, 5);
    CHECK_TEXT(granted >= 9 && granted <= 12, std::to_string(granted).c_str());
}

TEST(PeerPermits, SubstituteKeeperIssuesLessWhenTheFirstKeeperDoesNotAnswer)
{
    addVms(7);
    const auto keepers = keepersOf("e1");
    vms[keepers[0]]->feeds.reset();
    std::size_t asking = 0;
    while (asking == keepers[0] || asking == keepers[1])
        ++asking;
    int granted = 0;
    const auto end = clock.now() + Milliseconds { 2000 };
    while (clock.now() < end)
        granted += ask(asking, 5).isGranted;
    CHECK_TEXT(granted >= 3 && granted <= 7, std::to_string(granted).c_str());
}

TEST(PeerPermits, VmThatReachesNoKeeperStaysWithinItsPart)
{
    addVms(5);
    const auto keepers = keepersOf("e1");
    std::size_t isolated = 0;
    while (std::find(keepers.begin(), keepers.end(), isolated) != keepers.end())
        ++isolated;
    for (const auto keeper : keepers)
        vms[keeper]->feeds.reset();
    int granted = 0;
    const auto end = clock.now() + Milliseconds { 1500 };
    while (clock.now() < end)
        granted += ask(isolated, 5).isGranted;
    CHECK_TEXT(granted <= 1, std::to_string(granted).c_str());
}

TEST(PeerPermits, EndOfALimitReportedByOneVmReachesTheOthersWithTheirNextRequest)
{
    addVms(4);
    ask(0, 1);
    CHECK_FALSE(ask(1, 1).isGranted);
    // Ensures that the report without a limit is newer than the last one with a limit.
    clock.advance(Milliseconds { 5 });
    vms[2]->permits->reportLimit("e1", { std::nullopt, Milliseconds { 0 } });
    std::optional<PermitAnswer> got;
    CHECK(runUntil(*ioContext, [&] {
        if (!got || !got->isGranted) {
            vms[3]->permits->ask({ "e1", { 1.0, Milliseconds { 5000 } }, Milliseconds { 0 } },
                [&got](const PermitAnswer& answer) { got = answer; });
            return false;
        }
        return true;
    }));
    CHECK_FALSE(got->report.perSecond.has_value());
}

TEST(PeerPermits, RefusesInvalidRequestsAndReports)
{
    addVms(1);
    auto& receiver = *vms[0]->permits;
    for (const auto* text : { "", "[]", "{}", R"({"endpoint":1,"age_ms":0,"patience_ms":0,"rank":0})",
             R"({"endpoint":"e","age_ms":-1,"patience_ms":0,"rank":0})",
             R"({"endpoint":"e","age_ms":0,"per_second":-1,"patience_ms":0,"rank":0})",
             R"({"endpoint":"e","age_ms":0,"per_second":"1","patience_ms":0,"rank":0})",
             R"({"endpoint":"e","age_ms":0,"per_second":1,"rank":0})" }) {
        CHECK_TEXT(!receiver.answer(text).has_value(), text);
    }
    CHECK_FALSE(receiver.applyReport("{}"));
}
