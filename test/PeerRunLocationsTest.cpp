#include "PeerRunLocations.h"
#include "PeerFeeds.h"
#include "RunLocationText.h"
#include "RunUntil.h"
#include "StoreRunLocations.h"
#include "lupinknot/ManualClock.h"
#include "standin/StoreStandIn.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// A VM with an address at which other VMs call it. The store does not respond unless a test changes that.
struct TestVm {
    TestVm(boost::asio::io_context& ioContext, const std::string& name, std::int64_t storePort)
        : registry(ioContext, { "127.0.0.1", storePort }, { name, "a", {} }, {}, [](const auto&) {})
        , feeds(ioContext, { "127.0.0.1", 0 }, registry)
        , stored(ioContext, { "127.0.0.1", storePort })
    {
        CHECK_FALSE(feeds.start().has_value());
        entry = { name, "a", { "127.0.0.1", feeds.port() } };
        locations = std::make_unique<PeerRunLocations>(ioContext, clock, entry, stored);
        feeds.handleMessages(
            PeerRunLocations::reportPath, [this](const std::string& body) { return locations->applyFromPeer(body); });
        feeds.handleQueries(PeerRunLocations::requestPath,
            [this](const std::string& promptId) { return locations->answerQuery(promptId); });
    }

    ManualClock clock;
    VmRegistry registry;
    PeerFeeds feeds;
    StoreRunLocations stored;
    VmEntry entry;
    std::unique_ptr<PeerRunLocations> locations;
};

// A store without any locations that counts its searches.
class CountingStore final : public RunLocations {
public:
    void note(const std::string&, const RunLocation&) override { }
    void forget(const std::string&) override { }
    void find(const std::string&, FindCallback found) override
    {
        ++searches;
        found({});
    }

    int searches { 0 };
};

} // namespace

TEST_GROUP(PeerRunLocations)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<StoreStandIn> store;
    std::vector<std::unique_ptr<TestVm>> vms;

    void setup() override
    {
        ioContext = std::make_unique<boost::asio::io_context>();
        store = std::make_unique<StoreStandIn>(*ioContext);
        store->start();
        store->setFault(StoreFault::Unavailable);
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
            vms.push_back(std::make_unique<TestVm>(*ioContext, "vm" + std::to_string(i), store->port()));
        for (const auto& vm : vms) {
            std::vector<VmEntry> others;
            for (const auto& other : vms) {
                if (other != vm)
                    others.push_back(other->entry);
            }
            vm->locations->setOthers(others);
        }
    }

    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(*ioContext, condition); }

    // The number of VMs other than the first one that store the prompt's location.
    std::size_t storedElsewhere(const std::string& promptId) const
    {
        return static_cast<std::size_t>(std::count_if(vms.begin() + 1, vms.end(),
            [&](const std::unique_ptr<TestVm>& vm) { return vm->locations->answerQuery(promptId).has_value(); }));
    }

    // A VM that queries six others, some of which know the run of prompt 91bd. Addresses, and so the three location
    // keepers, differ between executions of the test. The keepers may include the first VM and the querying one.
    struct QueryingVm {
        template <typename Group>
        explicit QueryingVm(Group& group)
            : ioContext(*group.ioContext)
            , self({ "vm9", "a", { "127.0.0.1", 1 } })
            , locations(ioContext, clock, self, store)
        {
            group.addVms(6);
            std::vector<VmEntry> others;
            for (const auto& vm : group.vms)
                others.push_back(vm->entry);
            locations.setOthers(others);
            others.push_back(self);
            group.vms[0]->locations->setOthers(others);
            group.vms[0]->locations->note("91bd", { "e1", "e2", "r1" });
            CHECK(group.runUntil([&] { return group.storedElsewhere("91bd") >= 1; }));
        }

        std::string find(const std::string& promptId)
        {
            std::string found;
            locations.find(promptId, [&found](const RunLocationResult& result) {
                found = result.location ? result.location->endpointId : "none";
            });
            CHECK(internal::runUntil(ioContext, [&] { return !found.empty(); }));
            return found;
        }

        boost::asio::io_context& ioContext;
        ManualClock clock;
        CountingStore store;
        const VmEntry self;
        PeerRunLocations locations;
    };

    std::string find(TestVm & vm, const std::string& promptId)
    {
        std::string found;
        vm.locations->find(promptId, [&found](const RunLocationResult& result) {
            const auto& location = result.location;
            found = location ? location->endpointId + " " + location->copyHolderId + " " + location->requestId : "none";
        });
        CHECK_TEXT(runUntil([&] { return !found.empty(); }), "a search must end");
        return found;
    }
};

TEST(PeerRunLocations, AnyVmFindsARunOfADeadVmWhileTheStoreIsUnavailable)
{
    addVms(6);
    vms[0]->locations->note("91bd", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return storedElsewhere("91bd") >= 2; }));
    vms[0].reset();
    for (std::size_t i = 1; i < vms.size(); ++i)
        STRCMP_EQUAL("e1 e2 r1", find(*vms[i], "91bd").c_str());
}

TEST(PeerRunLocations, FindsARunThatOnlyTheStoreKnows)
{
    addVms(2);
    store->setFault(StoreFault::None);
    StoreRunLocations writer(*ioContext, { "127.0.0.1", store->port() });
    writer.writeSoon();
    writer.note("91bd", { "e1", "e2", "r1" });
    CHECK(runUntil([&] { return store->value("runs", "91bd").has_value(); }));
    STRCMP_EQUAL("e1 e2 r1", find(*vms[1], "91bd").c_str());
}

TEST(PeerRunLocations, TheStoreIsAskedOnlyWhenNoVmKnowsTheRun)
{
    QueryingVm queryingVm(*this);
    queryingVm.clock.advance(Milliseconds { 10001 });
    STRCMP_EQUAL("e1", queryingVm.find("91bd").c_str());
    LONGS_EQUAL_TEXT(0, queryingVm.store.searches, "the store must not be searched if a VM knows the run");
    STRCMP_EQUAL("none", queryingVm.find("77aa").c_str());
    LONGS_EQUAL_TEXT(1, queryingVm.store.searches, "the store must be searched once if no VM knows the run");
}

TEST(PeerRunLocations, AVmThatHasJustStartedAsksTheStoreAtOnce)
{
    QueryingVm queryingVm(*this);
    STRCMP_EQUAL("e1", queryingVm.find("91bd").c_str());
    LONGS_EQUAL(1, queryingVm.store.searches);
}

TEST(PeerRunLocations, ASearchThatFindsNothingEnds)
{
    addVms(3);
    vms[2].reset();
    STRCMP_EQUAL("none", find(*vms[0], "91bd").c_str());
}

TEST(PeerRunLocations, DoesNotSendTheLocationOfAnEndedRun)
{
    addVms(4);
    vms[0]->locations->note("91bd", { "e1", "e2", "r1" });
    vms[0]->locations->forget("91bd");
    vms[0]->locations->note("77aa", { "e1", "e2", "r2" });
    CHECK(runUntil([&] { return storedElsewhere("77aa") >= 2; }));
    LONGS_EQUAL(0, storedElsewhere("91bd"));
}

TEST(PeerRunLocations, RefusesInvalidLocations)
{
    addVms(1);
    for (const auto* const text : { "", "[]", "7", "{" })
        CHECK_FALSE_TEXT(vms[0]->locations->applyFromPeer(text), text);
    CHECK(vms[0]->locations->applyFromPeer(R"({"91bd":7})"));
    CHECK_FALSE(vms[0]->locations->answerQuery("91bd").has_value());
}

// Guards against a version that is lost between the VMs, also where a VM of an earlier release wrote the note.
TEST(PeerRunLocations, ANoteKeepsTheVersionAndTheStreamOfItsRun)
{
    for (const auto& version : { std::optional<std::string>("v1"), std::optional<std::string>() }) {
        const auto decoded = decodeLocation(encodeLocation({ "e1", "", "r1", {}, version, "5a", version.has_value() }));
        CHECK(decoded->version == version);
        CHECK(decoded->isNeededToContinue == version.has_value());
        STRCMP_EQUAL("5a", decoded->streamId.c_str());
    }
    const auto earlier = decodeLocation({ { "endpoint", "e1" }, { "request", "r1" }, { "version", 7 } });
    CHECK_FALSE(earlier->version.has_value());
    STRCMP_EQUAL("", earlier->streamId.c_str());
}
