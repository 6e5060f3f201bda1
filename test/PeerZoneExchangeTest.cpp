#include "PeerZoneExchange.h"
#include "PeerFeeds.h"
#include "RunUntil.h"
#include "lupinknot/MonotonicClock.h"
#include "standin/StoreStandIn.h"

#include <algorithm>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

struct ExchangeVm {
    ExchangeVm(boost::asio::io_context& ioContext, const Clock& clock, const std::string& name, const std::string& zone,
        std::int64_t storePort)
        : registry(ioContext, { "127.0.0.1", storePort }, { name, zone, {} }, {}, [](const auto&) {})
        , feeds(ioContext, SocketAddress { "127.0.0.1", 0 }, registry)
    {
        CHECK_FALSE(feeds.start().has_value());
        entry = { name, zone, { "127.0.0.1", feeds.port() } };
        exchange = std::make_unique<PeerZoneExchange>(ioContext, clock, entry);
        feeds.handleMessages(PeerZoneExchange::reportPath, [this](const std::string& text) {
            ++calls;
            return exchange->applyReport(text);
        });
        feeds.handleMessages(PeerZoneExchange::newsPath, [this](const std::string& text) {
            ++calls;
            return exchange->applyNews(text);
        });
        exchange->onReport("t", [this](const std::string& body) { reports.push_back(body); });
        exchange->onNews("t", [this](const std::string& body) { news.push_back(body); });
    }

    VmRegistry registry;
    PeerFeeds feeds;
    VmEntry entry;
    std::unique_ptr<PeerZoneExchange> exchange;
    std::vector<std::string> reports;
    std::vector<std::string> news;
    int calls { 0 };
};

} // namespace

TEST_GROUP(PeerZoneExchange)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<StoreStandIn> store;
    MonotonicClock clock;
    std::vector<std::unique_ptr<ExchangeVm>> vms;

    void setup() override
    {
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

    // Zones of the given numbers of VMs, named a, b, ...
    void addVms(const std::vector<int>& counts)
    {
        for (std::size_t zone = 0; zone < counts.size(); ++zone) {
            for (int i = 0; i < counts[zone]; ++i)
                vms.push_back(std::make_unique<ExchangeVm>(*ioContext, clock, "vm" + std::to_string(vms.size()),
                    std::string(1, static_cast<char>('a' + zone)), store->port()));
        }
        std::vector<VmEntry> all;
        for (const auto& vm : vms)
            all.push_back(vm->entry);
        for (const auto& vm : vms)
            vm->exchange->setOthers(all);
    }

    int callsOf(const std::string& zone) const
    {
        return std::accumulate(vms.begin(), vms.end(), 0,
            [&](int sum, const auto& vm) { return sum + (vm->entry.availabilityZone == zone ? vm->calls : 0); });
    }

    bool hasNews(const ExchangeVm& vm) const { return !vm.news.empty(); }
};

TEST(PeerZoneExchange, AReportReachesTheTwoCollectorsOfTheZoneOnly)
{
    addVms({ 6, 4 });
    vms[3]->exchange->report("t", R"({"x":1})");
    const auto collectors = vms[5]->exchange->collectors("a");
    const auto reached = [&] {
        std::vector<std::string> names;
        for (const auto& vm : vms) {
            if (!vm->reports.empty())
                names.push_back(vm->entry.name);
        }
        return names;
    };
    CHECK(runUntil(*ioContext, [&] { return reached().size() == 2; }));
    for (const auto& name : reached())
        CHECK(std::find(collectors.begin(), collectors.end(), name) != collectors.end());
}

TEST(PeerZoneExchange, APublicationReachesAllVmsOfAllZones)
{
    addVms({ 40, 5 });
    vms[0]->exchange->publish("t", R"({"x":1})");
    CHECK(runUntil(*ioContext,
        [this] { return std::all_of(vms.begin() + 1, vms.end(), [this](const auto& vm) { return hasNews(*vm); }); }));
    STRCMP_EQUAL(R"({"x":1})", vms[44]->news.front().c_str());
    LONGS_EQUAL_TEXT(39, callsOf("a"), "each VM of the zone should be notified once");
}

TEST(PeerZoneExchange, APublicationInTheZoneLeavesTheOtherZonesAlone)
{
    addVms({ 4, 3 });
    vms[0]->exchange->publishInZone("t", R"({"x":1})");
    CHECK(runUntil(*ioContext, [this] {
        return std::all_of(vms.begin() + 1, vms.begin() + 4, [this](const auto& vm) { return hasNews(*vm); });
    }));
    LONGS_EQUAL(0, callsOf("b"));
}
