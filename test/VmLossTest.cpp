// Several daemons between stand-ins: what callers see when one of them dies, and that work runs once.

#include "RawConnection.h"
#include "TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t vms = 3;

const std::string body = R"({"model":"story","prompt":[11,12,13],"max_tokens":20})";

void checkWhole(const GenerationResult& result)
{
    const auto text = "status " + std::to_string(result.status) + ", delivered " + std::to_string(result.delivered)
        + ", repeated " + std::to_string(result.repeated) + ", mixed " + std::to_string(result.mixed) + ", outcome "
        + result.outcome + ", error " + result.error;
    CHECK_TEXT(result.isWhole, text.c_str());
}

std::string header(const HttpFetchResult& result, const char* name)
{
    return std::string(result.response.headers.find(name).value_or("none"));
}

HttpHeaders unrepeatable(const std::string& key)
{
    return { { "Idempotency-Key", key }, { "Lupinknot-Repeatable", "false" } };
}

} // namespace

TEST_GROUP(VmLoss)
{
    TestCluster cluster { 2, vms };

    void setup() override
    {
        // A busy machine must not make an engine look silent here.
        cluster.settings.silence.floor = Milliseconds { 60000 };
        cluster.settings.silence.ceiling = Milliseconds { 60000 };
        cluster.settings.silence.prefill = Milliseconds { 60000 };
    }

    // Runs a keyed generation and kills the VM that runs it in the middle.
    GenerationResult runAndKill(GenerationCallerOptions caller)
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

TEST(VmLoss, KeepsAnAnswerWholeAndAttachesToTheRunningStream)
{
    cluster.start();
    checkWhole(runAndKill(cluster.caller("k")));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, ResumesByPrefixWhereTheStreamIsGone)
{
    cluster.settings.journal.detachedRunTime = Milliseconds { 0 };
    cluster.start();
    checkWhole(runAndKill(cluster.caller("k")));
    LONGS_EQUAL(2, cluster.engineRequests());
}

TEST(VmLoss, GivesAFinishedAnswerFromTheReplica)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    checkWhole(first);
    cluster.killVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = (first.daemon + 1) % vms;
    checkWhole(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsAKeyOnceThatComesToEveryVmAtOnce)
{
    cluster.start();
    std::vector<std::thread> threads;
    std::vector<GenerationResult> results(vms);
    for (std::size_t i = 0; i < vms; ++i) {
        threads.emplace_back([this, i, &results] {
            auto caller = cluster.caller("k");
            caller.firstDaemon = i;
            results[i] = cluster.run(caller);
        });
    }
    for (auto& thread : threads)
        thread.join();
    for (const auto& result : results)
        checkWhole(result);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsUnrepeatableWorkOnceThroughEveryVm)
{
    cluster.start();
    for (std::size_t i = 0; i < vms; ++i)
        LONGS_EQUAL(200, cluster.post("/v1/completions", body, unrepeatable("k"), i).response.status);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RefusesUnrepeatableWorkAsNotRunWhenNobodyCanTakeNoteOfIt)
{
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    CHECK(becomesTrue([this] { return cluster.areVmsLinked(); }));
    const auto result = cluster.post("/v1/completions", body, unrepeatable("k"));
    LONGS_EQUAL(503, result.response.status);
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(0, cluster.engineRequests());
}

TEST(VmLoss, NeverRunsUnrepeatableWorkAgainAfterItsVmIsLost)
{
    cluster.start();
    // Neither engine gives a first token, so the work may have begun and nothing shows how far it is.
    cluster.engine(0).control(R"({"pause_at":0,"pause_ms":60000})");
    cluster.engine(1).control(R"({"pause_at":0,"pause_ms":60000})");
    std::thread asking([this] { cluster.post("/v1/completions", body, unrepeatable("k")); });
    CHECK(becomesTrue([this] { return cluster.engineRequests() == 1; }));
    const auto runner = cluster.runningVm();
    cluster.killVm(runner);
    asking.join();
    const auto result = cluster.post("/v1/completions", body, unrepeatable("k"), (runner + 1) % vms);
    STRCMP_EQUAL("unknown", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, FindsAKeyThatARestartedVmHasForgotten)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    cluster.killVm(first.daemon);
    cluster.restartVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = first.daemon;
    checkWhole(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, GoesOnUnprotectedWhenAllOtherVmsAreLost)
{
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    checkWhole(cluster.run(cluster.caller("k")));
}

TEST(VmLoss, RefusesWithoutAnotherVmWhereTheSettingsSaySo)
{
    cluster.settings.journal.continuesWithoutPeers = false;
    cluster.start();
    cluster.killVm(1);
    cluster.killVm(2);
    CHECK(becomesTrue([this] { return cluster.areVmsLinked(); }));
    const auto result = cluster.post("/v1/completions", body, { { "Idempotency-Key", "k" } });
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
}

// A VM that takes callers before its links are up would take every key for new.
TEST(VmLoss, TakesNoKeyForNewBeforeItHasHeardOfTheOthers)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    cluster.killVm(first.daemon);
    cluster.startVm(first.daemon);
    auto again = cluster.caller("k");
    again.firstDaemon = first.daemon;
    checkWhole(cluster.run(again));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(VmLoss, RunsAServiceCallWithAKeyOnceThroughEveryVm)
{
    cluster.start();
    for (std::size_t i = 0; i < vms; ++i) {
        auto headers = unrepeatable("burner");
        headers.add("X-Work-Id", "w");
        const auto result = cluster.post("/thumbs/fire", "on", headers, i);
        LONGS_EQUAL(200, result.response.status);
    }
    LONGS_EQUAL(1, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}

TEST(VmLoss, NeverRunsAServiceCallAgainWhoseVmIsLost)
{
    cluster.start();
    cluster.service(0).control(R"({"delay_ms":3000})");
    cluster.service(1).control(R"({"delay_ms":3000})");
    auto headers = unrepeatable("burner");
    headers.add("X-Work-Id", "w");
    const auto runs = [this] { return cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"); };
    std::thread asking([&] { cluster.post("/thumbs/fire", "on", headers); });
    CHECK(becomesTrue([&] { return runs() == 1; }));
    // Whichever VM runs the call, losing two of three loses it, or leaves its record with the third.
    cluster.killVm(1);
    cluster.killVm(2);
    asking.join();
    const auto result = cluster.post("/thumbs/fire", "on", headers);
    CHECK(result.response.status != 200 || runs() == 1);
    LONGS_EQUAL(1, runs());
}

// A caller can be gone before the call that serves it has begun.
TEST(VmLoss, SurvivesCallersWhoLeaveAtOnce)
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
    checkWhole(cluster.run(cluster.caller("after")));
}

// The old record of a key is dropped and the new one opened at once; the drop must not take the new one.
TEST(VmLoss, HoldsTheRecordOfAKeyThatWasRefusedBefore)
{
    cluster.start();
    cluster.engine(0).control(R"({"refuse":true})");
    cluster.engine(1).control(R"({"refuse":true})");
    LONGS_EQUAL(503, cluster.post("/v1/completions", body, unrepeatable("k")).response.status);
    cluster.engine(0).control(R"({"refuse":false})");
    cluster.engine(1).control(R"({"refuse":false})");
    auto caller = cluster.caller("k");
    caller.repeatable = false;
    const auto first = cluster.run(caller);
    checkWhole(first);
    const auto dash = first.generation.find('-');
    const auto runner = std::stoul(first.generation.substr(2, dash - 2)) - 1;
    cluster.killVm(runner);
    caller.firstDaemon = (runner + 1) % vms;
    checkWhole(cluster.run(caller));
    LONGS_EQUAL(1, cluster.engineRequests());
}

// Whoever takes over holds at least what callers saw, because they see no token before a replica holds it.
TEST(VmLoss, ShowsNoTokenBeforeAnotherVmHoldsIt)
{
    TestCluster two { 1, 2 };
    two.settings.journal.flushInterval = Milliseconds { 600000 };
    two.start();
    std::atomic<std::size_t> shown { 0 };
    GenerationResult result;
    std::thread asking([&] {
        auto caller = two.caller("k");
        caller.maxTokens = 200;
        caller.onToken = [&shown](std::size_t, const Token&) { ++shown; };
        result = two.run(caller);
    });
    std::size_t runner = 2;
    CHECK(becomesTrue([&] {
        runner = two.runningVm();
        return runner < 2;
    }));
    CHECK(becomesTrue([&two] { return two.engine(0).work().decodedTokens == 200; }));
    const auto shownBefore = shown.load();
    // With the replica gone the answer goes on unprotected.
    two.killVm(1 - runner);
    asking.join();
    LONGS_EQUAL(0, shownBefore);
    checkWhole(result);
}
