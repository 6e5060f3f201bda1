#include "PeerCrashReports.h"
#include "PeerFeeds.h"
#include "PeerTrials.h"
#include "PeerZoneExchange.h"
#include "RunUntil.h"
#include "lupinknot/MonotonicClock.h"
#include "relay/CrashGuard.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelaySettings.h"
#include "standin/StoreStandIn.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// The parts of a VM that tell others of crashes directly.
struct Vm {
    Vm(boost::asio::io_context& ioContext, const Clock& clock, const std::string& name, const std::string& zone,
        std::int64_t storePort)
        : settings(settingsOf(name))
        , directory(ioContext, settings)
        , guard(ioContext, clock, settings, directory)
        , registry(ioContext, { "127.0.0.1", storePort }, { name, zone, {} }, {}, [](const auto&) {})
        , feeds(ioContext, SocketAddress { "127.0.0.1", 0 }, registry)
    {
        CHECK_FALSE(feeds.start().has_value());
        entry = { name, zone, { "127.0.0.1", feeds.port() } };
        exchange = std::make_unique<PeerZoneExchange>(ioContext, clock, entry);
        reports = std::make_unique<PeerCrashReports>(ioContext, clock, entry, guard, *exchange);
        guard.setDirectReports(reports.get());
        trials = std::make_unique<PeerTrials>(ioContext, clock, entry, guard);
        guard.setTrials(trials.get());
        feeds.handleExchanges(PeerTrials::path, [this](const std::string& body) { return trials->answer(body); });
        feeds.handleMessages(PeerZoneExchange::reportPath, [this](const std::string& text) {
            messages += 1;
            return !isCutOff && exchange->applyReport(text);
        });
        feeds.handleMessages(PeerZoneExchange::newsPath, [this](const std::string& text) {
            messages += 1;
            return !isCutOff && exchange->applyNews(text);
        });
        feeds.handleQueries(
            PeerCrashReports::path, [this](const std::string& version) { return reports->answerQuery(version); });
    }

    static RelaySettings settingsOf(const std::string& name)
    {
        RelaySettings settings;
        settings.vmName = name;
        return settings;
    }

    const RelaySettings settings;
    EndpointDirectory directory;
    CrashGuard guard;
    VmRegistry registry;
    PeerFeeds feeds;
    VmEntry entry;
    std::unique_ptr<PeerZoneExchange> exchange;
    std::unique_ptr<PeerCrashReports> reports;
    std::unique_ptr<PeerTrials> trials;
    bool isCutOff { false };
    std::size_t messages { 0 };
};

} // namespace

TEST_GROUP(PeerCrashReports)
{
    static constexpr Milliseconds runTime { 60 };

    boost::asio::io_context ioContext;
    MonotonicClock clock;
    std::unique_ptr<StoreStandIn> store;
    std::vector<std::unique_ptr<Vm>> vms;
    const std::string digest = std::string(48, 'd');

    void setup() override
    {
        store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
        store->setFault(StoreFault::Silent);
    }

    void teardown() override
    {
        vms.clear();
        store.reset();
    }

    Vm& addVm(const std::string& zone)
    {
        vms.push_back(std::make_unique<Vm>(ioContext, clock, "vm" + std::to_string(vms.size()), zone, store->port()));
        return *vms.back();
    }

    void addVms(std::size_t zones, std::size_t vmsOfZone)
    {
        for (std::size_t i = 0; i < zones * vmsOfZone; ++i)
            addVm(std::string(1, static_cast<char>('a' + i % zones)));
        listVms();
    }

    void listVms()
    {
        std::vector<VmEntry> all;
        for (const auto& vm : vms)
            all.push_back(vm->entry);
        for (const auto& vm : vms) {
            vm->exchange->setOthers(all);
            vm->reports->setOthers(all);
            vm->trials->setOthers(all);
        }
    }

    // Three VMs lose an engine each, one after the other.
    void loseThreeEngines()
    {
        for (std::size_t vm = 0; vm < 3; ++vm) {
            loseEngine(*vms[vm], "e" + std::to_string(vm));
            runFor(2 * runTime);
        }
    }

    // The VM loses an engine that had just begun the request.
    void loseEngine(Vm & vm, const std::string& id, FailureKind failure = FailureKind::EarlyEnd)
    {
        vm.directory.upsert({ id, "service", { "127.0.0.1", 1 + std::atoi(id.c_str() + 1) }, "a" }, clock.now());
        vm.guard.noteLoss(
            { "r1", digest, vm.directory.find(id), clock.now() - runTime, { failure, RunStart::Begun, runTime } });
    }

    bool isHeldAt(const Vm& vm) const { return vm.guard.quarantineStatus(digest) == QuarantineStatus::Held; }
    bool isHeldEverywhere() const
    {
        return std::all_of(vms.begin(), vms.end(), [this](const auto& vm) { return isHeldAt(*vm); });
    }
    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(ioContext, condition); }
    void runFor(Milliseconds time)
    {
        const auto end = clock.now() + time;
        runUntil([&] { return clock.now() >= end; });
    }
};

TEST(PeerCrashReports, LossesOfThreeVmsHoldTheRequestAtAllVmsWithoutTheStore)
{
    addVms(3, 4);
    loseThreeEngines();
    CHECK(runUntil([this] { return isHeldEverywhere(); }));
}

// A zone of more than 32 VMs is notified through groups.
TEST(PeerCrashReports, AllVmsOfALargeZoneHoldTheRequest)
{
    addVms(1, 60);
    loseThreeEngines();
    CHECK(runUntil([this] { return isHeldEverywhere(); }));
}

// Engines crash by chance all the time, and many requests lose one.
TEST(PeerCrashReports, ASingleLossIsReportedToCollectorsOnly)
{
    addVms(1, 12);
    loseEngine(*vms[0], "e0");
    constexpr Milliseconds timeUntilReported { 1000 };
    runFor(timeUntilReported);
    const auto reached = std::count_if(vms.begin(), vms.end(), [](const auto& vm) { return vm->messages > 0; });
    CHECK(reached <= static_cast<std::ptrdiff_t>(PeerZoneExchange::collectorsPerZone));
}

TEST(PeerCrashReports, AVmThatStartsLearnsFromAnother)
{
    addVms(2, 2);
    loseThreeEngines();
    CHECK(runUntil([this] { return isHeldEverywhere(); }));
    const auto& started = addVm("a");
    listVms();
    CHECK(runUntil([&] { return isHeldAt(started); }));
}

TEST(PeerCrashReports, AVmThatWasCutOffLearnsSoonAfterwards)
{
    addVms(2, 2);
    vms[3]->isCutOff = true;
    loseThreeEngines();
    CHECK(runUntil([this] { return isHeldAt(*vms[0]) && isHeldAt(*vms[1]) && isHeldAt(*vms[2]); }));
    constexpr Milliseconds maxTimeUntilInTouch { 3000 };
    const auto healedAt = clock.now();
    CHECK(runUntil([this] { return isHeldAt(*vms[3]); }));
    CHECK(clock.now() - healedAt <= maxTimeUntilInTouch);
}

TEST(PeerCrashReports, ARequestThatOneVmHasServedIsHeldByNone)
{
    addVms(2, 3);
    loseThreeEngines();
    CHECK(runUntil([this] { return isHeldEverywhere(); }));
    vms[5]->guard.noteHarmless(digest);
    CHECK(runUntil([this] {
        return std::none_of(vms.begin(), vms.end(), [this](const auto& vm) { return vm->guard.isSuspect(digest); });
    }));
    // A VM that compares with another does not learn of the earlier losses again.
    runFor(PeerCrashReports::compareInterval);
    CHECK_FALSE(isHeldAt(*vms[0]));
}

// Guards against holding a request at other VMs although its silent engines have turned out to be alive.
TEST(PeerCrashReports, SilenceThatHasEndedIsForgottenByAllVms)
{
    addVms(2, 3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const auto id = "e" + std::to_string(vm);
        loseEngine(*vms[vm], id, FailureKind::Silent);
        vms[vm]->directory.remove(id, clock.now());
        runFor(2 * runTime);
    }
    CHECK(runUntil([this] { return isHeldEverywhere(); }));
    for (std::size_t vm = 0; vm < 3; ++vm)
        vms[vm]->directory.find("e" + std::to_string(vm))->noteAlive(clock.now());
    CHECK(runUntil([this] {
        return std::none_of(vms.begin(), vms.end(), [this](const auto& vm) { return vm->guard.isSuspect(digest); });
    }));
    // A VM that compares with another does not learn of the losses again.
    runFor(PeerCrashReports::compareInterval);
    CHECK_FALSE(isHeldAt(*vms[5]));
}

TEST(PeerCrashReports, MessagesKeepTheirMeaning)
{
    const Milliseconds now { 100000 };
    CrashMessage message;
    message.crashes.push_back({ { digest, "e1", "10.0.0.1:80", halfSuspicion, Milliseconds { 60 }, true, 5000, 5090 },
        now - Milliseconds { 700 } });
    message.clearances.push_back({ digest, now - Milliseconds { 300 } });
    message.withdrawals.push_back({ digest, "e2", now - Milliseconds { 200 } });
    const Milliseconds receivedAt { 4000 };
    const auto received = decodeCrashMessage(encodeCrashMessage(message, now), receivedAt);
    LONGS_EQUAL(1, received.crashes.size());
    const auto& crash = received.crashes.front();
    STRCMP_EQUAL(digest.c_str(), crash.record.digest.c_str());
    STRCMP_EQUAL("e1", crash.record.endpointId.c_str());
    STRCMP_EQUAL("10.0.0.1:80", crash.record.address.c_str());
    DOUBLES_EQUAL(halfSuspicion, crash.record.weight, 0);
    LONGS_EQUAL(60, crash.record.workedFor.count());
    CHECK(crash.record.endsTrial);
    LONGS_EQUAL(90, crash.record.lostAt - crash.record.sentAt);
    LONGS_EQUAL(receivedAt.count() - 700, crash.lostAt.count());
    LONGS_EQUAL(receivedAt.count() - 300, received.clearances.front().at.count());
    STRCMP_EQUAL("e2", received.withdrawals.at(0).endpointId.c_str());
    LONGS_EQUAL(receivedAt.count() - 200, received.withdrawals.at(0).at.count());
}

TEST(PeerCrashReports, RejectsInvalidMessages)
{
    const std::string valid = R"({"digest":")" + digest
        + R"(","endpoint":"e","address":"a:1","weight":1,"worked-ms":1,"age-ms":1,"ran-ms":1)";
    CHECK_EQUAL(1, decodeCrashMessage(R"({"crashes":[)" + valid + R"(,"later":1}]})", {}).crashes.size());
    const std::vector<std::string> invalid { "x", R"({"crashes":[{}]})",
        R"({"crashes":[)" + valid + R"(,"age-ms":-1}]})", R"({"crashes":[)" + valid + R"(,"digest":"short"}]})",
        R"({"crashes":[)" + valid + R"(,"endpoint":""}]})" };
    for (const auto& text : invalid)
        CHECK_THROWS(std::exception, decodeCrashMessage(text, {}));
    std::string crashes = valid + "}";
    for (std::size_t i = 0; i < CrashMessage::maxCrashes; ++i)
        crashes += "," + valid + "}";
    CHECK_THROWS(std::exception, decodeCrashMessage(R"({"crashes":[)" + crashes + "]}", {}));
}

namespace {

// Three losses of a request whose first hold has just ended.
CrashMessage lossesBeforeHold(const std::string& digest, Milliseconds now)
{
    CrashMessage message;
    for (int i = 0; i < 3; ++i) {
        const auto id = "e" + std::to_string(i);
        message.crashes.push_back({ { digest, id, "at " + id, fullSuspicion, Milliseconds { 60 }, false, 0, 60 },
            now - Quarantine::firstHold - Milliseconds { 1000 * (i + 1) } });
    }
    return message;
}

} // namespace

// Guards against a trial at each VM when the callers of a request return to many VMs at the end of its hold.
TEST(PeerCrashReports, OneOfAllVmsTriesTheRequestAgain)
{
    addVms(3, 8);
    int admitted = 0;
    int decided = 0;
    for (const auto& vm : vms) {
        for (const auto& crash : lossesBeforeHold(digest, clock.now()).crashes)
            CHECK(vm->guard.addReportedCrash(crash));
    }
    for (int i = 0; i < 3; ++i) {
        for (const auto& vm : vms) {
            vm->guard.admit(digest, [&](bool isAdmitted) {
                ++decided;
                admitted += isAdmitted ? 1 : 0;
            });
        }
    }
    CHECK(runUntil([&] { return decided == 3 * static_cast<int>(vms.size()); }));
    LONGS_EQUAL(1, admitted);
    const auto isFree = [this](const auto& vm) { return vm->guard.quarantineStatus(digest) == QuarantineStatus::Free; };
    CHECK(std::any_of(vms.begin(), vms.end(), isFree));
}

// Without any other VM each one decides alone, at different times.
TEST(PeerCrashReports, AVmThatReachesNoOtherTriesTheRequestAgain)
{
    auto& vm = addVm("a");
    vm.exchange->setOthers({});
    for (const auto& crash : lossesBeforeHold(digest, clock.now() - Quarantine::holdSpread).crashes)
        CHECK(vm.guard.addReportedCrash(crash));
    bool isAdmitted = false;
    vm.guard.admit(digest, [&isAdmitted](bool result) { isAdmitted = result; });
    CHECK(isAdmitted);
    vm.guard.admit(digest, [&isAdmitted](bool result) { isAdmitted = result; });
    CHECK_FALSE(isAdmitted);
}
