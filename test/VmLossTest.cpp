// Tests several daemons with stand-ins: what callers get when a VM dies, and that work runs only once.

#include "RawConnection.h"
#include "TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t vmCount = 3;

const std::string body = R"({"model":"story","prompt":[11,12,13],"max_tokens":20})";

void checkComplete(const GenerationResult& result)
{
    const auto text = "status " + std::to_string(result.status) + ", delivered " + std::to_string(result.delivered)
        + ", repeated " + std::to_string(result.repeated) + ", mixed " + std::to_string(result.mixed) + ", outcome "
        + result.outcome + ", error " + result.error;
    CHECK_TEXT(result.isComplete, text.c_str());
}

std::string header(const HttpFetchResult& result, const char* name)
{
    return std::string(result.response.headers.find(name).value_or("none"));
}

HttpHeaders unrepeatableHeaders(const std::string& key)
{
    return { { "Idempotency-Key", key }, { "Lupinknot-Repeatable", "false" } };
}

} // namespace

TEST_GROUP(VmLoss)
{
    TestCluster cluster { 2, vmCount };

    void setup() override
    {
        // Long timeouts, so that a busy machine does not make an engine look silent.
        cluster.settings.silence.floor = Milliseconds { 60000 };
        cluster.settings.silence.ceiling = Milliseconds { 60000 };
        cluster.settings.silence.prefill = Milliseconds { 60000 };
    }

    // Runs a keyed generation and kills its VM in the middle.
    GenerationResult runAndKillItsVm(GenerationCallerOptions caller)
    {
        std::thread killer;
        caller.maxTokens = 200;
        caller.onToken = [&](std::size_t position, const Token&) {
            if (position == 10)
                killer = std::thread([this] { cluster.killVm(cluster.runningVm()); });
        };
        auto result = cluster.run(caller);
        killer.join();
        return result;
    }
};

TEST(VmLoss, CompletesAnAnswerByAttachingToTheRunningStream)
{
    cluster.start();
    checkComplete(runAndKillItsVm(cluster.caller("k")));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, ResumesFromThePrefixWhenTheStreamHasEnded)
{
    cluster.settings.journal.detachedRunTime = Milliseconds { 0 };
    cluster.start();
    checkComplete(runAndKillItsVm(cluster.caller("k")));
    LONGS_EQUAL(2, cluster.engineRequests());
}

TEST(VmLoss, ServesAFinishedAnswerFromTheReplica)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    checkComplete(first);
    cluster.killVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = (first.daemon + 1) % vmCount;
    checkComplete(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsAKeyOnceWhenAllVmsGetItAtOnce)
{
    cluster.start();
    std::vector<std::thread> threads;
    std::vector<GenerationResult> results(vmCount);
    for (std::size_t i = 0; i < vmCount; ++i) {
        threads.emplace_back([this, i, &results] {
            auto caller = cluster.caller("k");
            caller.firstDaemon = i;
            results[i] = cluster.run(caller);
        });
    }
    for (auto& thread : threads)
        thread.join();
    for (const auto& result : results)
        checkComplete(result);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsUnrepeatableWorkOnceWhenEveryVmIsAsked)
{
    cluster.start();
    for (std::size_t i = 0; i < vmCount; ++i)
        LONGS_EQUAL(200, cluster.post("/v1/completions", body, unrepeatableHeaders("k"), i).response.status);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RefusesUnrepeatableWorkAsNotRunWithoutAReplica)
{
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    CHECK(becomesTrue([this] { return cluster.areVmsLinked(); }));
    const auto result = cluster.post("/v1/completions", body, unrepeatableHeaders("k"));
    LONGS_EQUAL(503, result.response.status);
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(0, cluster.engineRequests());
}

TEST(VmLoss, NeverRerunsUnrepeatableWorkAfterItsVmIsLost)
{
    cluster.start();
    // Neither engine sends a first token, so the work may have started and its progress is unknown.
    cluster.engine(0).control(R"({"pause_at":0,"pause_ms":60000})");
    cluster.engine(1).control(R"({"pause_at":0,"pause_ms":60000})");
    std::thread callerThread([this] { cluster.post("/v1/completions", body, unrepeatableHeaders("k")); });
    CHECK(becomesTrue([this] { return cluster.engineRequests() == 1; }));
    const auto runner = cluster.runningVm();
    cluster.killVm(runner);
    callerThread.join();
    const auto result = cluster.post("/v1/completions", body, unrepeatableHeaders("k"), (runner + 1) % vmCount);
    STRCMP_EQUAL("unknown", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, FindsAKeyAfterItsVmWasRestarted)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    cluster.killVm(first.daemon);
    cluster.restartVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = first.daemon;
    checkComplete(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, ContinuesUnprotectedWhenAllOtherVmsAreLost)
{
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    checkComplete(cluster.run(cluster.caller("k")));
}

TEST(VmLoss, RefusesWithoutAReplicaWhenConfigured)
{
    cluster.settings.journal.continuesWithoutPeers = false;
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    CHECK(becomesTrue([this] { return cluster.areVmsLinked(); }));
    const auto result = cluster.post("/v1/completions", body, { { "Idempotency-Key", "k" } });
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
}

// A VM that accepts callers before it is linked to the others would treat every key as new.
TEST(VmLoss, TreatsNoKeyAsNewBeforeItIsLinked)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    cluster.killVm(first.daemon);
    cluster.startVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = first.daemon;
    checkComplete(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsAKeyedServiceCallOnceWhenEveryVmIsAsked)
{
    cluster.start();
    for (std::size_t i = 0; i < vmCount; ++i) {
        auto headers = unrepeatableHeaders("burner");
        headers.add("X-Work-Id", "w");
        const auto result = cluster.post("/thumbs/fire", "on", headers, i);
        LONGS_EQUAL(200, result.response.status);
    }
    LONGS_EQUAL(1, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}

TEST(VmLoss, NeverRerunsAServiceCallAfterItsVmIsLost)
{
    cluster.start();
    cluster.service(0).control(R"({"delay_ms":3000})");
    cluster.service(1).control(R"({"delay_ms":3000})");
    auto headers = unrepeatableHeaders("burner");
    headers.add("X-Work-Id", "w");
    const auto runs = [this] { return cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"); };
    std::thread callerThread([&] { cluster.post("/thumbs/fire", "on", headers); });
    CHECK(becomesTrue([&] { return runs() == 1; }));
    // Whichever VM runs the call, killing two of the three VMs either loses the call or leaves its record on the third.
    cluster.killVm(1);
    cluster.killVm(2);
    callerThread.join();
    const auto result = cluster.post("/thumbs/fire", "on", headers);
    CHECK(result.response.status != 200 || runs() == 1);
    LONGS_EQUAL(1, runs());
}

// A caller can disconnect before the call that serves it has started.
TEST(VmLoss, SurvivesCallersWhoDisconnectAtOnce)
{
    cluster.start();
    for (int i = 0; i < 100; ++i) {
        RawConnection completion(cluster.daemon(0).port());
        completion.send("POST /v1/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k" + std::to_string(i)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        completion.close();
        RawConnection service(cluster.daemon(0).port());
        service.send("GET /thumbs HTTP/1.1\r\nHost: h\r\n\r\n");
        service.close();
    }
    checkComplete(cluster.run(cluster.caller("after")));
}

// The old record of a key is dropped and a new one opened in the same batch; the drop must not remove the new record.
TEST(VmLoss, KeepsTheNewRecordOfAKeyThatWasRefusedBefore)
{
    cluster.start();
    cluster.engine(0).control(R"({"refuse":true})");
    cluster.engine(1).control(R"({"refuse":true})");
    LONGS_EQUAL(503, cluster.post("/v1/completions", body, unrepeatableHeaders("k")).response.status);
    cluster.engine(0).control(R"({"refuse":false})");
    cluster.engine(1).control(R"({"refuse":false})");
    auto caller = cluster.caller("k");
    caller.repeatable = false;
    const auto first = cluster.run(caller);
    checkComplete(first);
    const auto dash = first.generation.find('-');
    const auto runner = std::stoul(first.generation.substr(2, dash - 2)) - 1;
    cluster.killVm(runner);
    caller.firstDaemon = (runner + 1) % vmCount;
    checkComplete(cluster.run(caller));
    LONGS_EQUAL(1, cluster.engineRequests());
}

// A VM that takes over holds at least the tokens that callers saw, because callers get no token before a replica holds
// it.
TEST(VmLoss, ShowsNoTokenBeforeAReplicaHoldsIt)
{
    TestCluster twoVms { 1, 2 };
    twoVms.settings.journal.flushInterval = Milliseconds { 600000 };
    twoVms.start();
    std::atomic<std::size_t> tokensShown { 0 };
    GenerationResult result;
    std::thread callerThread([&] {
        auto caller = twoVms.caller("k");
        caller.maxTokens = 200;
        caller.onToken = [&tokensShown](std::size_t, const Token&) { ++tokensShown; };
        result = twoVms.run(caller);
    });
    std::size_t runner = 2;
    CHECK(becomesTrue([&] {
        runner = twoVms.runningVm();
        return runner < 2;
    }));
    CHECK(becomesTrue([&twoVms] { return twoVms.engine(0).work().decodedTokens == 200; }));
    const auto shownBefore = tokensShown.load();
    // Without the replica the generation continues unprotected.
    twoVms.killVm(1 - runner);
    callerThread.join();
    LONGS_EQUAL(0, shownBefore);
    checkComplete(result);
}
