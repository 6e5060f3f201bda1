#include "PeerZoneHealth.h"
#include "PeerFeeds.h"
#include "PeerZoneExchange.h"
#include "RunUntil.h"
#include "lupinknot/MonotonicClock.h"
#include "relay/EndpointDirectory.h"
#include "standin/StoreStandIn.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr int enginesPerZone = 20;

// A VM that knows the engines of three zones.
struct TestVm {
    TestVm(boost::asio::io_context& ioContext, const Clock& clock, const std::string& name, const std::string& zone,
        std::int64_t storePort)
        : directory(ioContext, settings)
        , registry(ioContext, { "127.0.0.1", storePort }, { name, zone, {} }, {}, [](const auto&) {})
        , feeds(std::make_unique<PeerFeeds>(ioContext, SocketAddress { "127.0.0.1", 0 }, registry))
    {
        CHECK_FALSE(feeds->start().has_value());
        entry = { name, zone, { "127.0.0.1", feeds->port() } };
        exchange = std::make_unique<PeerZoneExchange>(ioContext, clock, entry);
        health = std::make_unique<PeerZoneHealth>(ioContext, clock, directory, *exchange);
        feeds->handleMessages(
            PeerZoneExchange::reportPath, [this](const std::string& body) { return exchange->applyReport(body); });
        feeds->handleMessages(
            PeerZoneExchange::newsPath, [this](const std::string& body) { return exchange->applyNews(body); });
        std::vector<EndpointEntry> engines;
        const auto nextAddress = [&engines] {
            return SocketAddress { "127.0.0.1", 1 + static_cast<std::int64_t>(engines.size()) };
        };
        for (const auto* engineZone : { "a", "b", "c" }) {
            for (int i = 0; i < enginesPerZone; ++i)
                engines.push_back({ engineZone + std::to_string(i), "s", nextAddress(), engineZone });
            engines.push_back({ engineZone + std::string("-other"), "t", nextAddress(), engineZone });
        }
        directory.replaceAll(std::move(engines), clock.now() - Milliseconds { 10 });
    }

    void seeFailure(const std::string& endpoint) const { directory.reportFailure(*directory.find(endpoint)); }
    void seeSilence(const std::string& endpoint, Milliseconds now)
    {
        directory.noteSilence(*directory.find(endpoint), now);
    }

    RelaySettings settings;
    EndpointDirectory directory;
    VmRegistry registry;
    std::unique_ptr<PeerFeeds> feeds;
    VmEntry entry;
    std::unique_ptr<PeerZoneExchange> exchange;
    std::unique_ptr<PeerZoneHealth> health;
};

} // namespace

TEST_GROUP(PeerZoneHealth)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<StoreStandIn> store;
    MonotonicClock clock;
    std::vector<std::unique_ptr<TestVm>> vms;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> frozen;

    void setup() override
    {
        ioContext = std::make_unique<boost::asio::io_context>();
        store = std::make_unique<StoreStandIn>(*ioContext);
        store->start();
    }

    void teardown() override
    {
        frozen.clear();
        vms.clear();
        store.reset();
        ioContext.reset();
    }

    void addVms(int inZoneA, int inZoneB)
    {
        for (int i = 0; i < inZoneA + inZoneB; ++i)
            vms.push_back(std::make_unique<TestVm>(
                *ioContext, clock, "vm" + std::to_string(i), i < inZoneA ? "a" : "b", store->port()));
        shareList();
    }

    void shareList() const
    {
        std::vector<VmEntry> all;
        for (const auto& vm : vms)
            all.push_back(vm->entry);
        for (const auto& vm : vms)
            vm->exchange->setOthers(all);
    }

    TestVm& vm(const std::string& name) const
    {
        return **std::find_if(vms.begin(), vms.end(), [&](const auto& other) { return other->entry.name == name; });
    }

    std::string collector(const std::string& zone, std::size_t rank) const
    {
        return vms[0]->exchange->collectors(zone).at(rank);
    }

    // The VM's address accepts connections, but nothing answers.
    void freeze(TestVm & vm)
    {
        vm.feeds.reset();
        // The closed listener is destroyed by its last handler.
        ioContext->poll();
        ioContext->restart();
        using boost::asio::ip::tcp;
        const tcp::endpoint address(
            boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(vm.entry.address.port));
        frozen.push_back(std::make_unique<tcp::acceptor>(*ioContext, address));
    }

    bool knows(const TestVm& vm, const std::string& zone = "c") const
    {
        return vm.directory.isZoneAvoided("s", zone, clock.now());
    }

    // The indexes of the first VMs that are not frozen.
    std::vector<std::size_t> firstRunningVms(std::size_t count) const
    {
        std::vector<std::size_t> running;
        for (std::size_t i = 0; i < vms.size() && running.size() < count; ++i) {
            if (vms[i]->feeds)
                running.push_back(i);
        }
        return running;
    }

    // Each of some VMs sees one engine of zone c fail. Returns the time until all VMs that are not frozen know of it.
    Milliseconds timeUntilKnown(const std::vector<std::size_t>& seeing)
    {
        const auto begin = clock.now();
        for (std::size_t i = 0; i < seeing.size(); ++i)
            vms[seeing[i]]->seeFailure("c" + std::to_string(i));
        CHECK(runUntil(*ioContext, [this] {
            return std::all_of(
                vms.begin(), vms.end(), [this](const auto& other) { return !other->feeds || knows(*other); });
        }));
        return clock.now() - begin;
    }

    void runFor(Milliseconds time) const
    {
        const auto end = clock.now() + time;
        runUntil(*ioContext, [&] { return clock.now() >= end; });
    }

    bool send(TestVm & vm, std::string_view path, const std::string& sender, const nlohmann::json& body) const
    {
        const nlohmann::json message { { "from", sender }, { "topic", PeerZoneHealth::newsTopic }, { "body", body } };
        return path == PeerZoneExchange::newsPath ? vm.exchange->applyNews(message.dump())
                                                  : vm.exchange->applyReport(message.dump());
    }

    static nlohmann::json news(std::int64_t age)
    {
        return { { "service", "s" }, { "zone", "c" }, { "age_ms", age }, { "first_age_ms", age }, { "endpoints", 5 },
            { "history",
                nlohmann::json::array(
                    { nlohmann::json::array({ "a", 9000 }), nlohmann::json::array({ "c", age }) }) } };
    }
};

// Guards against a zone failure that no VM detects because each sees only one of the losses.
TEST(PeerZoneHealth, AllVmsLearnOfAFailureOfWhichEachSawOneEngine)
{
    addVms(8, 6);
    const auto before = clock.now() - Milliseconds { 1 };
    const auto took = timeUntilKnown({ 0, 5, 9 });
    CHECK_TEXT(took < Milliseconds { 300 }, std::to_string(took.count()).c_str());
    for (const auto& vm : vms) {
        CHECK_FALSE(knows(*vm, "a"));
        CHECK_FALSE_TEXT(vm->directory.isZoneAvoided("t", "c", clock.now()), "the other service has not failed");
        CHECK(vm->directory.isSuspected(*vm->directory.find("c7"), clock.now()));
        CHECK(vm->directory.hasZoneFailedSince("s", "c", before));
        LONGS_EQUAL(1, vm->directory.zoneFailures("s").failures().size());
    }
}

TEST(PeerZoneHealth, VmsLearnOfAFailureWhileACollectorOfEachZoneIsFrozen)
{
    addVms(8, 6);
    const auto first = collector("a", 0);
    freeze(vm(first));
    freeze(vm(collector("b", 1)));
    const auto took = timeUntilKnown(firstRunningVms(3));
    CHECK_TEXT(took < Milliseconds { 300 }, std::to_string(took.count()).c_str());
}

// Both collectors of a zone die; the reports go to the next VMs by rank.
TEST(PeerZoneHealth, VmsLearnOfAFailureAfterBothCollectorsDied)
{
    addVms(8, 0);
    const auto first = collector("a", 0);
    const auto second = collector("a", 1);
    freeze(vm(first));
    freeze(vm(second));
    const auto took = timeUntilKnown(firstRunningVms(3));
    CHECK_TEXT(took < Milliseconds { 300 }, std::to_string(took.count()).c_str());
}

// Guards against failures of all zones that are declared when all engines pause at once: VMs gave up the copies there.
TEST(PeerZoneHealth, SilenceOfAllZonesAtOnceIsNoFailureOfAnyZone)
{
    addVms(4, 4);
    const auto begin = clock.now();
    for (int engine = 0; engine < 6; ++engine) {
        for (const auto* const zone : { "a", "b", "c" })
            vms[static_cast<std::size_t>(engine) % vms.size()]->seeSilence(zone + std::to_string(engine), clock.now());
        runFor(Milliseconds { 10 });
    }
    runFor(Milliseconds { 200 });
    for (const auto& vm : vms) {
        for (const auto* const zone : { "a", "b", "c" }) {
            CHECK_FALSE(knows(*vm, zone));
            CHECK_FALSE(vm->directory.hasZoneFailedSince("s", zone, begin));
        }
        CHECK(vm->directory.zoneFailures("s").isEmpty());
    }
}

// Guards against a false failure that VMs act on, and learn from, after the silent engines speak again.
TEST(PeerZoneHealth, AllVmsRetractAFailureOnceItsEnginesAnswer)
{
    addVms(8, 6);
    const auto begin = clock.now();
    for (std::size_t i = 0; i < 3; ++i)
        vms[i]->seeSilence("c" + std::to_string(i), clock.now());
    CHECK(runUntil(*ioContext,
        [this] { return std::all_of(vms.begin(), vms.end(), [this](const auto& vm) { return knows(*vm); }); }));
    runFor(Milliseconds { 100 });
    for (std::size_t i = 0; i < 2; ++i)
        vms[i]->directory.find("c" + std::to_string(i))->confirmAlive(clock.now());
    runFor(Milliseconds { 300 });
    for (const auto& vm : vms) {
        CHECK_FALSE(knows(*vm));
        CHECK_FALSE(vm->directory.hasZoneFailedSince("s", "c", begin));
        CHECK(vm->directory.zoneFailures("s").isEmpty());
    }
}

// The collectors of a zone that is cut off decide on what its own VMs see.
TEST(PeerZoneHealth, AZoneThatIsCutOffDetectsAFailureByItself)
{
    addVms(6, 6);
    for (std::size_t i = 6; i < vms.size(); ++i)
        freeze(*vms[i]);
    const auto took = timeUntilKnown({ 0, 1, 2 });
    CHECK_TEXT(took < Milliseconds { 300 }, std::to_string(took.count()).c_str());
}

// In a zone of more than 33 VMs the notification passes through groups, one of whose first VMs is frozen.
TEST(PeerZoneHealth, AllVmsOfALargeZoneLearnOfAFailureWhileSomeAreFrozen)
{
    addVms(60, 0);
    int left = 20;
    std::vector<std::size_t> seeing;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const auto& name = vms[i]->entry.name;
        if (name == collector("a", 0) || name == collector("a", 1))
            continue;
        if (left-- > 0)
            freeze(*vms[i]);
        else if (seeing.size() < 3)
            seeing.push_back(i);
    }
    const auto took = timeUntilKnown(seeing);
    CHECK_TEXT(took < Milliseconds { 300 }, std::to_string(took.count()).c_str());
}

// Engines that are scaled in break their last runs when they end.
TEST(PeerZoneHealth, EnginesThatAreScaledInAreNoFailureOfTheZone)
{
    addVms(3, 0);
    for (int i = 0; i < enginesPerZone; ++i) {
        const auto id = "c" + std::to_string(i);
        // Only one VM knows already that the engine is shutting down.
        for (std::size_t vm = 0; vm < 2; ++vm) {
            auto entry = vms[vm]->directory.find(id)->entry();
            entry.isDraining = true;
            vms[vm]->directory.upsert(entry, clock.now());
        }
    }
    const bool isCollector = collector("a", 0) == vms[2]->entry.name || collector("a", 1) == vms[2]->entry.name;
    for (int i = 0; i < enginesPerZone; ++i)
        vms[isCollector ? 0 : 2]->seeFailure("c" + std::to_string(i));
    runFor(Milliseconds { 200 });
    for (const auto& vm : vms)
        CHECK_FALSE(knows(*vm));
}

TEST(PeerZoneHealth, ANewVmGetsTheHistoryWithTheNextNotification)
{
    addVms(1, 0);
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm7", news(10)));
    LONGS_EQUAL(2, vms[0]->directory.zoneFailures("s").failures().size());
}

// Guards against messages that a frozen VM or connection delivers seconds later.
TEST(PeerZoneHealth, IgnoresOldMessages)
{
    addVms(1, 0);
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm7", news(5001)));
    CHECK_FALSE(knows(*vms[0]));
    CHECK(vms[0]->directory.zoneFailures("s").isEmpty());
}

TEST(PeerZoneHealth, RepeatedNotificationsOfAFailureDoNotExtendIt)
{
    addVms(1, 0);
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm7", news(300)));
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm8", news(10)));
    CHECK(vms[0]->directory.isZoneAvoided("s", "c", clock.now() + Milliseconds { 600 }));
    CHECK_FALSE(vms[0]->directory.isZoneAvoided("s", "c", clock.now() + Milliseconds { 750 }));
    LONGS_EQUAL(2, vms[0]->directory.zoneFailures("s").failures().size());
}

// VMs of two releases run together during a rolling restart.
TEST(PeerZoneHealth, IgnoresFieldsOfALaterRelease)
{
    addVms(1, 0);
    auto body = news(10);
    body["confidence"] = { { "level", 3 } };
    body["history"][0].push_back("later");
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm7", body));
    CHECK(knows(*vms[0]));
}

// A VM of an earlier release has no collector; the report must reach the next VM by rank.
TEST(PeerZoneHealth, ReportsPassAVmOfAnEarlierRelease)
{
    addVms(5, 0);
    auto& earlier = vm(collector("a", 0));
    earlier.feeds = std::make_unique<PeerFeeds>(*ioContext, SocketAddress { "127.0.0.1", 0 }, earlier.registry);
    CHECK_FALSE(earlier.feeds->start().has_value());
    earlier.entry.address.port = earlier.feeds->port();
    shareList();
    std::vector<std::size_t> seeing;
    for (std::size_t i = 0; i < vms.size() && seeing.size() < 3; ++i) {
        if (vms[i].get() != &earlier)
            seeing.push_back(i);
    }
    for (std::size_t i = 0; i < seeing.size(); ++i)
        vms[seeing[i]]->seeFailure("c" + std::to_string(i));
    CHECK(runUntil(*ioContext, [&] {
        return std::all_of(
            vms.begin(), vms.end(), [&](const auto& other) { return other.get() == &earlier || knows(*other); });
    }));
}

TEST(PeerZoneHealth, RejectsInvalidMessages)
{
    addVms(1, 0);
    auto& exchange = *vms[0]->exchange;
    const std::string tooLong(PeerZoneExchange::maxBodyBytes, 'x');
    for (const auto& text :
        { std::string(), std::string("[]"), std::string("{}"), std::string(R"({"from":"vm7","topic":"zone-failure"})"),
            std::string(R"({"from":"vm7","topic":"zone-failure","body":[]})"),
            R"({"from":"vm7","topic":"x","body":{"x":")" + tooLong + R"("}})" }) {
        CHECK_TEXT(!exchange.applyNews(text), text.c_str());
        CHECK_TEXT(!exchange.applyReport(text), text.c_str());
    }
    auto invalid = std::vector<nlohmann::json>(5, news(10));
    invalid[0].erase("zone");
    invalid[1]["age_ms"] = -1;
    invalid[2]["endpoints"] = "many";
    invalid[3]["history"] = nlohmann::json::array({ nlohmann::json::array({ "a" }) });
    invalid[4]["service"] = std::string(1000, 's');
    for (const auto& body : invalid)
        CHECK_TEXT(!send(*vms[0], PeerZoneExchange::newsPath, "vm7", body), body.dump().c_str());
    CHECK_FALSE(knows(*vms[0]));
}

// A VM that sends without end must not take the time of a collector.
TEST(PeerZoneHealth, AcceptsALimitedNumberOfMessagesFromOneVm)
{
    addVms(1, 0);
    int accepted = 0;
    for (int i = 0; i < 200; ++i)
        accepted += send(*vms[0], PeerZoneExchange::newsPath, "vm7", news(10));
    CHECK_TEXT(accepted >= 20 && accepted <= 40, std::to_string(accepted).c_str());
    CHECK(send(*vms[0], PeerZoneExchange::newsPath, "vm8", news(10)));
}

// Guards against a zone failure of which only the services that come first in the message are reported.
TEST(PeerZoneHealth, FailuresThatDoNotFitIntoAMessageFollowInTheNext)
{
    const std::string service(150, 's');
    std::vector<EndpointEntry> engines;
    engines.reserve(400);
    for (int i = 0; i < 400; ++i)
        engines.push_back({ std::string(40, 'e') + std::to_string(i), service + std::to_string(i / 100),
            { "127.0.0.1", 1000 + i }, "c" });
    addVms(6, 0);
    for (const auto& vm : vms)
        vm->directory.replaceAll(engines, clock.now() - Milliseconds { 10 });
    for (const auto& engine : engines)
        vms[0]->seeFailure(engine.id);
    CHECK(runUntil(*ioContext, [&] {
        return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) {
            return vm->directory.isZoneAvoided(service + "0", "c", clock.now())
                && vm->directory.isZoneAvoided(service + "3", "c", clock.now());
        });
    }));
}

// Guards against a collector that knows none of a service's endpoints and declares its failure after three losses.
TEST(PeerZoneHealth, ACollectorThatListsNoneOfTheEndpointsNotifiesNoVm)
{
    addVms(2, 0);
    std::vector<EndpointEntry> engines;
    engines.reserve(40);
    for (int i = 0; i < 40; ++i)
        engines.push_back({ "late" + std::to_string(i), "late", { "127.0.0.1", 1000 + i }, "c" });
    vms[1]->directory.replaceAll(engines, clock.now() - Milliseconds { 10 });
    const auto body = nlohmann::json::parse(
        R"({"failures":[{"service":"late","zone":"c","endpoints":[["late1",1],["late2",1],["late3",1]]}]})");
    const nlohmann::json message { { "from", "vm7" }, { "topic", PeerZoneHealth::reportTopic }, { "body", body } };
    CHECK(vms[0]->exchange->applyReport(message.dump()));
    runFor(Milliseconds { 100 });
    CHECK_FALSE(vms[1]->directory.isZoneAvoided("late", "c", clock.now()));
}
