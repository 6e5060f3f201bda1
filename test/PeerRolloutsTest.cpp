#include "PeerRollouts.h"
#include "PeerFeeds.h"
#include "PlatformCallProtocol.h"
#include "RunUntil.h"
#include "relay/RelaySettings.h"
#include "standin/StoreStandIn.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr const char* orderText = R"({"service":"s","target-version":"v2","duration-s":1.5})";
constexpr std::uint64_t orderRevision = 3;

} // namespace

TEST_GROUP(PeerRollouts)
{
    PlatformCallProtocol protocol;
    std::unique_ptr<RelayDaemon> daemon;
    std::unique_ptr<StoreStandIn> store;
    std::shared_ptr<StoreEra> era;
    std::unique_ptr<PeerRollouts> rollouts;

    void setup() override
    {
        RelaySettings settings;
        settings.vmName = "vm1";
        daemon = std::make_unique<RelayDaemon>(settings, RelayAddresses {}, protocol);
        store = std::make_unique<StoreStandIn>(daemon->ioContext());
        store->start();
        const VmEntry self { "vm1", "a", {} };
        era = StoreEra::create(daemon->ioContext());
        rollouts = std::make_unique<PeerRollouts>(*daemon, SocketAddress { "127.0.0.1", store->port() }, self, era);
        rollouts->setOthers({});
    }

    void teardown() override
    {
        rollouts.reset();
        era.reset();
        store.reset();
        daemon.reset();
    }

    void startRollout(std::uint64_t revision = orderRevision)
    {
        rollouts->takeRow({ "rollout/s", orderText, false, revision });
    }

    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(daemon->ioContext(), condition); }

    Rollout& rollout() { return *daemon->rollouts().find("s"); }

    std::string status() { return store->value("status", "rollout/s").value_or("none"); }

    // A report of another process with the given counts of the candidate's responses.
    static std::string report(unsigned candidateAnswers, unsigned candidateBad, std::uint64_t revision = orderRevision)
    {
        return R"({"service":"s","process":"vm2/1","stopped":false,"revision":)" + std::to_string(revision)
            + R"(,"routes":{"r":{"present":[200,2],"candidate":[)" + std::to_string(candidateAnswers) + ","
            + std::to_string(candidateBad) + "]}}}";
    }

    // Restores the store from its copy, and notifies this VM.
    void restoreStore()
    {
        store->restoreCopy();
        era->noteEraFromVm(0);
        era->noteEraFromVm(1);
        rollouts->storeRestored();
    }

    // Advances the store's version beyond the order's.
    void advanceStore()
    {
        while (store->version() <= orderRevision)
            store->put("op", "config", "1");
    }
};

TEST(PeerRollouts, RecordsARunningOrderAndRollsItBackWithoutEvidence)
{
    advanceStore();
    startRollout();
    CHECK(runUntil([&] { return status().find("running") != std::string::npos; }));
    CHECK(runUntil([&] { return status().find("rolled_back") != std::string::npos; }));
    CHECK(runUntil([&] { return rollout().decision() == RolloutDecision::RolledBack; }));
    CHECK_FALSE(rollout().choose(daemon->clock().now()).admits("v2"));
}

TEST(PeerRollouts, RollsBackACandidateThatOtherVmsReportAsBad)
{
    advanceStore();
    startRollout();
    const auto response = rollouts->takeReport(report(20, 12));
    CHECK(response && response->find("stop") != std::string::npos);
    CHECK(runUntil([&] { return rollout().decision() == RolloutDecision::RolledBack; }));
    CHECK_TEXT(rollout().isStopped(), "the VM stops its own requests to the candidate as well");
}

TEST(PeerRollouts, CompletesACandidateThatOtherVmsReportAsGood)
{
    advanceStore();
    startRollout();
    rollouts->takeReport(report(90, 1));
    CHECK(runUntil([&] { return status().find("completed") != std::string::npos; }));
    CHECK(runUntil([&] { return rollout().decision() == RolloutDecision::Completed; }));
}

TEST(PeerRollouts, AdoptsTheDecisionThatAnotherVmHasWritten)
{
    advanceStore();
    store->put("status", "rollout/s", R"({"state":"completed","target-version":"v2"})");
    startRollout();
    rollouts->takeReport(report(20, 12));
    CHECK(runUntil([&] { return rollout().decision() != RolloutDecision::Undecided; }));
    CHECK_TEXT(rollout().decision() == RolloutDecision::Completed, "a decision that is in the store must not change");
}

TEST(PeerRollouts, IgnoresTheRecordOfAnEarlierOrder)
{
    store->put("status", "rollout/s", R"({"state":"completed","target-version":"v2"})");
    advanceStore();
    startRollout(orderRevision);
    CHECK(runUntil([&] { return status().find("running") != std::string::npos; }));
}

TEST(PeerRollouts, IgnoresInvalidOrdersAndReports)
{
    for (const auto* text : { "", "[]", "{}", R"({"service":"s","target-version":"v2","duration-s":0})",
             R"({"service":"other","target-version":"v2","duration-s":5})", R"({"target-version":7,"duration-s":5})" })
        rollouts->takeRow({ "rollout/s", text, false, 1 });
    rollouts->takeRow({ "rollout/", orderText, false, 1 });
    CHECK(daemon->rollouts().all().empty());
    startRollout();
    for (const auto* text : { "", "7", "{}", R"({"service":"s","revision":3,"process":1,"routes":{}})",
             R"({"service":"s","revision":3,"process":"p","routes":{"r":{"present":[1],"candidate":[1,1]}}})" })
        CHECK_FALSE(rollouts->takeReport(text).has_value());
    CHECK_FALSE_TEXT(
        rollouts->takeReport(report(1, 1, 99)).has_value(), "a report about another order must be refused");
}

TEST(PeerRollouts, RemovedOrderEndsItsRollout)
{
    startRollout();
    rollouts->takeRow({ "rollout/s", "", true, orderRevision + 1 });
    CHECK(daemon->rollouts().all().empty());
}

// The store is restored from a copy that has neither the order nor its record. Starting the rollout over would send the
// bad candidate its share of the requests once more.
TEST(PeerRollouts, KeepsAndRewritesADecisionWhenTheStoreHasLostItAndItsOrder)
{
    advanceStore();
    store->keepCopy();
    startRollout();
    rollouts->takeReport(report(20, 12));
    CHECK(runUntil([&] { return rollout().decision() == RolloutDecision::RolledBack; }));
    restoreStore();
    rollouts->takeTable({});
    CHECK_TEXT(rollout().decision() == RolloutDecision::RolledBack, "an order that the copy lacks stays in effect");
    rollouts->takeRow({ "rollout/s", orderText, false, 2, 1 });
    CHECK(rollout().decision() == RolloutDecision::RolledBack);
    LONGS_EQUAL_TEXT(1, rollout().order().era, "the same order must get its new position");
    CHECK(runUntil([&] { return status().find("rolled_back") != std::string::npos; }));
}

TEST(PeerRollouts, RewrittenOrderKeepsTheEvidenceAgainstItsCandidate)
{
    advanceStore();
    store->keepCopy();
    startRollout();
    rollout().applyDirective(RolloutDirective::Stop, daemon->clock().now());
    restoreStore();
    rollouts->takeTable({ { "rollout/s", orderText, false, 2, 1 } });
    rollouts->takeRow({ "rollout/s", orderText, false, 5, 1 });
    CHECK_TEXT(rollout().isStopped(), "an order that is in the copy and is written once more must stay stopped");
    LONGS_EQUAL(5, rollout().order().revision);
}

// After the restore the store assigns the earlier order's revision to another order.
TEST(PeerRollouts, OrderWithAReusedRevisionOfALaterEraIsANewOrder)
{
    startRollout();
    rollout().decide(RolloutDecision::RolledBack, daemon->clock().now());
    restoreStore();
    rollouts->takeRow(
        { "rollout/s", R"({"service":"s","target-version":"v3","duration-s":1.5})", false, orderRevision, 1 });
    STRCMP_EQUAL("v3", rollout().order().candidate.c_str());
    CHECK(rollout().decision() == RolloutDecision::Undecided);
}

TEST(PeerRollouts, OlderOrderInARestoredStoreDoesNotStartAgain)
{
    startRollout();
    rollouts->takeRow({ "rollout/t", R"({"service":"t","target-version":"v2","duration-s":1.5})", false, 4 });
    rollouts->takeRow({ "rollout/t", "", true, 5 });
    restoreStore();
    rollouts->takeTable({ { "rollout/s", R"({"service":"s","target-version":"v1","duration-s":1.5})", false, 1, 1 },
        { "rollout/t", R"({"service":"t","target-version":"v2","duration-s":1.5})", false, 2, 1 } });
    STRCMP_EQUAL_TEXT(
        "v2", rollout().order().candidate.c_str(), "an older order in the copy must not replace the known one");
    CHECK_TEXT(!daemon->rollouts().find("t"), "an order that was removed after the copy was made must not start again");
}

// One VM aggregates; the other reports its counts to it and follows its directives.
TEST(PeerRollouts, VmReportsToTheAggregatorOfItsZoneAndLearnsTheDecision)
{
    advanceStore();
    VmRegistry vms(daemon->ioContext(), { "127.0.0.1", store->port() }, { "vm1", "a", {} }, {}, [](const auto&) {});
    PeerFeeds feeds(daemon->ioContext(), { "127.0.0.1", 0 }, vms);
    feeds.handleExchanges(PeerRollouts::path, [this](const std::string& body) { return rollouts->takeReport(body); });
    CHECK_FALSE(feeds.start().has_value());
    RelaySettings settings;
    settings.vmName = "vm2";
    RelayDaemon other(settings, RelayAddresses {}, protocol);
    PeerRollouts reporter(other, { "127.0.0.1", store->port() }, { "vm2", "a", {}, 10 });
    reporter.setOthers({ { "vm1", "a", { "127.0.0.1", feeds.port() }, 200 } });
    startRollout();
    reporter.takeRow({ "rollout/s", orderText, false, orderRevision });
    auto& otherRollout = *other.rollouts().find("s");
    const auto runBothUntil = [&](const std::function<bool()>& condition) {
        return runUntil([&] {
            other.ioContext().poll();
            return condition();
        });
    };
    CHECK(runBothUntil([&] { return otherRollout.choose(other.clock().now()).admits("v2"); }));
    for (int i = 0; i < 100; ++i)
        otherRollout.noteAnswer("r", RunnerVersion::Present, AnswerQuality::Good);
    for (int i = 0; i < 20; ++i)
        otherRollout.noteAnswer("r", RunnerVersion::Candidate, AnswerQuality::Bad);
    CHECK(runBothUntil([&] { return otherRollout.isStopped(); }));
    CHECK(runBothUntil([&] { return otherRollout.decision() == RolloutDecision::RolledBack; }));
    CHECK(rollout().decision() == RolloutDecision::RolledBack);
}
