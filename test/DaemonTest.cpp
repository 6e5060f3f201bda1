// Tests the daemon over real connections to stand-ins: what callers get while engines and services fail.

#include "TestCluster.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

void checkComplete(const GenerationResult& result)
{
    const auto text = "status " + std::to_string(result.status) + ", delivered " + std::to_string(result.delivered)
        + ", repeated " + std::to_string(result.repeated) + ", mixed " + std::to_string(result.mixed) + ", error "
        + result.error;
    CHECK_TEXT(result.isComplete, text.c_str());
}

std::string header(const HttpFetchResult& result, const char* name)
{
    return std::string(result.response.headers.find(name).value_or("none"));
}

std::string errorField(const HttpFetchResult& result, const char* name)
{
    const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value(name, "none") : "no error";
}

const std::string nonStreamingBody = R"({"model":"story","prompt":[11,12,13],"max_tokens":20})";

struct EngineFault {
    const char* control;
    const char* failure;
};

} // namespace

TEST_GROUP(Daemon)
{
    TestCluster cluster;

    // Starts the cluster with a fault on the engine that is chosen first.
    void startWithFaultOnFirstEngine(const std::string& control)
    {
        cluster.start();
        cluster.engine(0).control(control);
    }

    std::string failuresOf(const GenerationResult& result)
    {
        const auto answer = cluster.fetchAdmin("/v1/generations/" + result.generation);
        const auto described = nlohmann::json::parse(answer.response.body);
        std::string failures;
        for (const auto& attempt : described["attempts"])
            failures += attempt.value("failure", "") + ";";
        return failures;
    }
};

TEST(Daemon, StreamsACompleteAnswer)
{
    cluster.start();
    checkComplete(cluster.run(cluster.caller()));
}

TEST(Daemon, ReturnsACompleteAnswerWithoutStreaming)
{
    cluster.start();
    const auto result = cluster.post("/v1/completions", nonStreamingBody);
    LONGS_EQUAL(200, result.response.status);
    const auto body = nlohmann::json::parse(result.response.body);
    LONGS_EQUAL(20, body["choices"][0]["token_ids"].size());
    LONGS_EQUAL(3, body["usage"]["prompt_tokens"].get<int>());
}

TEST(Daemon, CompletesAnAnswerAfterEachKindOfEngineFailure)
{
    const EngineFault faults[] = {
        { R"({"crash_at":7,"down_ms":100})", "connection-lost;;" },
        { R"({"crash_at":0,"down_ms":100})", "connection-lost;;" },
        { R"({"crash_at":19,"down_ms":100})", "connection-lost;;" },
        { R"({"end_early_at":7})", "early-end;;" },
        { R"({"malformed_at":7})", "malformed-event;;" },
        { R"({"skip_at":7})", "wrong-position;;" },
        { R"({"pause_at":7,"pause_ms":1500})", "silent;;" },
        { R"({"refuse":true})", "overloaded;;" },
        { R"({"fail":true})", "error-status;;" },
    };
    for (const auto& fault : faults) {
        TestCluster faultyCluster;
        faultyCluster.start();
        faultyCluster.engine(0).control(fault.control);
        const auto result = faultyCluster.run(faultyCluster.caller());
        checkComplete(result);
        const auto described
            = nlohmann::json::parse(faultyCluster.fetchAdmin("/v1/generations/" + result.generation).response.body);
        std::string failures;
        for (const auto& attempt : described["attempts"])
            failures += attempt.value("failure", "") + ";";
        STRCMP_EQUAL_TEXT(fault.failure, failures.c_str(), fault.control);
    }
}

TEST(Daemon, CompletesAnAnswerAfterSeveralEngineCrashes)
{
    cluster.start();
    cluster.engine(0).control(R"({"crash_at":5,"down_ms":30})");
    cluster.engine(1).control(R"({"crash_at":5,"down_ms":30})");
    const auto result = cluster.run(cluster.caller());
    checkComplete(result);
    // After the second loss there may be failed probes of engines that are still down.
    STRCMP_CONTAINS("connection-lost;connection-lost;", failuresOf(result).c_str());
}

TEST(Daemon, RefusesAsNotRunWhenNoEngineCanBeReached)
{
    cluster.start();
    cluster.kill(cluster.engine(0));
    cluster.kill(cluster.engine(1));
    const auto result = cluster.post("/v1/completions", nonStreamingBody);
    LONGS_EQUAL(503, result.response.status);
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
    STRCMP_EQUAL("1", header(result, "Retry-After").c_str());
    STRCMP_EQUAL("no_endpoint", errorField(result, "code").c_str());
}

TEST(Daemon, ReportsUnknownWhenUnrepeatableWorkMayHaveStarted)
{
    startWithFaultOnFirstEngine(R"({"crash_at":0,"down_ms":100})");
    const auto result = cluster.post("/v1/completions", nonStreamingBody, { { "Lupinknot-Repeatable", "false" } });
    LONGS_EQUAL(502, result.response.status);
    STRCMP_EQUAL("unknown", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(Daemon, RunsAKeyOnceAndRepeatsItsAnswer)
{
    cluster.start();
    checkComplete(cluster.run(cluster.caller("key")));
    checkComplete(cluster.run(cluster.caller("key")));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(Daemon, ScopesKeysByOrganisation)
{
    cluster.start();
    cluster.post(
        "/v1/completions", nonStreamingBody, { { "Idempotency-Key", "k" }, { "Lupinknot-Organisation", "one" } });
    cluster.post(
        "/v1/completions", nonStreamingBody, { { "Idempotency-Key", "k" }, { "Lupinknot-Organisation", "two" } });
    LONGS_EQUAL(2, cluster.engineRequests());
}

TEST(Daemon, RejectsAKeyWithAnotherBody)
{
    cluster.start();
    cluster.post("/v1/completions", nonStreamingBody, { { "Idempotency-Key", "k" } });
    const auto result
        = cluster.post("/v1/completions", R"({"model":"story","prompt":"other"})", { { "Idempotency-Key", "k" } });
    LONGS_EQUAL(422, result.response.status);
    STRCMP_EQUAL("Idempotency-Key", errorField(result, "field").c_str());
}

TEST(Daemon, ContinuesAfterLastEventId)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    const auto body = R"({"model":"story","prompt":[11,12,13],"max_tokens":20,"stream":true})";
    const auto remainder = cluster.post(
        "/v1/completions", body, { { "Idempotency-Key", "k" }, { "Last-Event-ID", first.generation + ":18" } });
    STRCMP_CONTAINS(("id: " + first.generation + ":19\n").c_str(), remainder.response.body.c_str());
    CHECK(remainder.response.body.find(":18\n") == std::string::npos);
    STRCMP_CONTAINS("[DONE]", remainder.response.body.c_str());
}

TEST(Daemon, RejectsAPositionThatItDoesNotHold)
{
    cluster.start();
    const auto first = cluster.run(cluster.caller("k"));
    const auto beyond = cluster.post("/v1/completions", nonStreamingBody,
        { { "Idempotency-Key", "k" }, { "Last-Event-ID", first.generation + ":21" } });
    LONGS_EQUAL(409, beyond.response.status);
    const auto other = cluster.post(
        "/v1/completions", nonStreamingBody, { { "Idempotency-Key", "k" }, { "Last-Event-ID", "another:2" } });
    LONGS_EQUAL(409, other.response.status);
    const auto unknown = cluster.post(
        "/v1/completions", nonStreamingBody, { { "Idempotency-Key", "new" }, { "Last-Event-ID", "another:2" } });
    LONGS_EQUAL(409, unknown.response.status);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(Daemon, CancelsTheEngineRequestWhenTheCallerDisconnects)
{
    cluster.start();
    auto caller = cluster.caller();
    caller.maxTokens = 2000;
    caller.disconnectAfter = 5;
    cluster.run(caller);
    CHECK_TEXT(
        becomesTrue([this] { return cluster.engine(0).work().cancelled + cluster.engine(1).work().cancelled == 1; }),
        "expected one engine to cancel its work after the caller disconnected");
}

TEST(Daemon, ResumesTheAnswerForAReturningCaller)
{
    cluster.start();
    auto disconnecting = cluster.caller("k");
    disconnecting.disconnectAfter = 5;
    cluster.run(disconnecting);
    checkComplete(cluster.run(cluster.caller("k")));
}

TEST(Daemon, FinishesUnrepeatableKeyedWorkWithoutItsCaller)
{
    cluster.start();
    auto disconnecting = cluster.caller("k");
    disconnecting.repeatable = false;
    disconnecting.disconnectAfter = 5;
    cluster.run(disconnecting);
    auto returning = cluster.caller("k");
    returning.repeatable = false;
    checkComplete(cluster.run(returning));
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(Daemon, GivesNoNewWorkToAnEndpointThatShutsDown)
{
    cluster.start();
    cluster.platform().control(R"({"endpoints":[{"name":"e1","state":"leaving"}]})");
    const auto isListingApplied
        = [this] { return cluster.fetchAdmin("/v1/status").response.body.find("leaving") != std::string::npos; };
    CHECK_TEXT(becomesTrue(isListingApplied), "expected the status to list the endpoint as leaving");
    for (int i = 0; i < 5; ++i)
        checkComplete(cluster.run(cluster.caller()));
    LONGS_EQUAL(0, cluster.engine(0).work().requests);
}

TEST(Daemon, KeepsTheLastEndpointListDuringAPlatformOutage)
{
    cluster.start();
    cluster.platform().control(R"({"endpoints":[{"name":"e1","state":"leaving"}]})");
    const auto isListingApplied
        = [this] { return cluster.fetchAdmin("/v1/status").response.body.find("leaving") != std::string::npos; };
    CHECK(becomesTrue(isListingApplied));
    cluster.platform().control(R"({"outage_ms":60000})");
    checkComplete(cluster.run(cluster.caller()));
    LONGS_EQUAL(0, cluster.engine(0).work().requests);
}

TEST(Daemon, RejectsAnUnknownModel)
{
    cluster.start();
    const auto result = cluster.post("/v1/completions", R"({"model":"nobody","prompt":"a"})");
    LONGS_EQUAL(404, result.response.status);
    STRCMP_EQUAL("model", errorField(result, "field").c_str());
}

TEST(Daemon, RejectsGenerationsBeyondTheLimit)
{
    cluster.settings.generation.maxGenerations = 1;
    cluster.start();
    cluster.post("/v1/completions", nonStreamingBody, { { "Idempotency-Key", "k" } });
    const auto result = cluster.post("/v1/completions", nonStreamingBody);
    LONGS_EQUAL(503, result.response.status);
    STRCMP_EQUAL("too_many_generations", errorField(result, "code").c_str());
}

TEST(Daemon, ForwardsServiceCallsWithoutHopByHopHeaders)
{
    cluster.start();
    const auto result = cluster.post(
        "/thumbs/a?size=2", "photo", { { "X-Guest", "g" }, { "Connection", "X-Hop" }, { "X-Hop", "1" } });
    LONGS_EQUAL(200, result.response.status);
    const auto body = nlohmann::json::parse(result.response.body);
    STRCMP_EQUAL("/thumbs/a?size=2", body["target"].get<std::string>().c_str());
    STRCMP_EQUAL("photo", body["body"].get<std::string>().c_str());
    STRCMP_EQUAL("g", body["headers"].value("X-Guest", "none").c_str());
    STRCMP_EQUAL("none", body["headers"].value("X-Hop", "none").c_str());
}

TEST(Daemon, RetriesARepeatableServiceCall)
{
    cluster.start();
    cluster.service(0).control(R"({"lose_answers":1})");
    const auto result = cluster.post("/thumbs", "x", { { "X-Work-Id", "w" }, { "Lupinknot-Repeatable", "true" } });
    LONGS_EQUAL(200, result.response.status);
    LONGS_EQUAL(2, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}

TEST(Daemon, NeverRunsAnUnrepeatableServiceCallTwice)
{
    cluster.start();
    cluster.service(0).control(R"({"lose_answers":1})");
    const auto result = cluster.post("/thumbs", "x", { { "X-Work-Id", "w" }, { "Lupinknot-Repeatable", "false" } });
    LONGS_EQUAL(502, result.response.status);
    STRCMP_EQUAL("unknown", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(1, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}

TEST(Daemon, RetriesAnUnrepeatableServiceCallAfterARefusedConnection)
{
    cluster.start();
    cluster.kill(cluster.service(0));
    const auto result = cluster.post("/thumbs", "x", { { "X-Work-Id", "w" }, { "Lupinknot-Repeatable", "false" } });
    LONGS_EQUAL(200, result.response.status);
    LONGS_EQUAL(1, cluster.service(1).runsOf("w"));
}

TEST(Daemon, ReportsNotRunWhenNoServiceEndpointCanBeReached)
{
    cluster.start();
    cluster.kill(cluster.service(0));
    cluster.kill(cluster.service(1));
    const auto result = cluster.post("/thumbs", "x", { { "X-Work-Id", "w" } });
    STRCMP_EQUAL("not-run", header(result, "Lupinknot-Outcome").c_str());
    LONGS_EQUAL(0, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}

TEST(Daemon, TimesOutASilentServiceCallAtItsDeadline)
{
    cluster.settings.services.front().deadline = Milliseconds { 100 };
    cluster.start();
    cluster.service(0).control(R"({"delay_ms":5000})");
    cluster.service(1).control(R"({"delay_ms":5000})");
    const auto result = cluster.post("/thumbs", "x");
    LONGS_EQUAL(504, result.response.status);
    STRCMP_EQUAL("unknown", header(result, "Lupinknot-Outcome").c_str());
}

TEST(Daemon, CompletesAnswersInProgressDuringAPlannedStop)
{
    cluster.start();
    auto caller = cluster.caller();
    caller.maxTokens = 100;
    std::thread stopper;
    caller.onToken = [&](std::size_t position, const Token&) {
        if (position == 10)
            stopper = std::thread([this] { cluster.daemon().stop(); });
    };
    checkComplete(cluster.run(caller));
    stopper.join();
}

TEST(Daemon, ReportsNotReadyAfterAPlannedStop)
{
    cluster.start();
    LONGS_EQUAL(200, cluster.fetchAdmin("/readyz").response.status);
    cluster.daemon().stop();
    LONGS_EQUAL(503, cluster.fetchAdmin("/readyz").response.status);
}

TEST(Daemon, ExposesMetrics)
{
    cluster.start();
    cluster.run(cluster.caller());
    const auto metrics = cluster.fetchAdmin("/metrics").response.body;
    STRCMP_CONTAINS("lupinknot_tokens_total 20", metrics.c_str());
    STRCMP_CONTAINS("lupinknot_endpoint_in_flight{endpoint=\"e1\"} 0", metrics.c_str());
}

// A caller refused as not run may retry; the retry with the same key must not get the earlier refusal.
TEST(Daemon, AcceptsAKeyAgainAfterItWasRefusedAsNotRun)
{
    cluster.start();
    cluster.engine(0).control(R"({"refuse":true})");
    cluster.engine(1).control(R"({"refuse":true})");
    const HttpHeaders keyed { { "Idempotency-Key", "k" }, { "Lupinknot-Repeatable", "false" } };
    const auto refused = cluster.post("/v1/completions", nonStreamingBody, keyed);
    STRCMP_EQUAL("not-run", header(refused, "Lupinknot-Outcome").c_str());
    cluster.engine(0).control(R"({"refuse":false})");
    cluster.engine(1).control(R"({"refuse":false})");
    LONGS_EQUAL(200, cluster.post("/v1/completions", nonStreamingBody, keyed).response.status);
    LONGS_EQUAL(1, cluster.engineRequests());
}

TEST(Daemon, AcceptsAServiceKeyAgainAfterItWasRefusedAsNotRun)
{
    cluster.settings.ejection.initial = Milliseconds { 1 };
    cluster.start();
    const HttpHeaders keyed { { "Idempotency-Key", "k" }, { "X-Work-Id", "w" } };
    cluster.service(0).control(R"({"refuse":true})");
    cluster.service(1).control(R"({"refuse":true})");
    const auto refused = cluster.post("/thumbs", "x", keyed);
    STRCMP_EQUAL("not-run", header(refused, "Lupinknot-Outcome").c_str());
    cluster.service(0).control(R"({"refuse":false})");
    cluster.service(1).control(R"({"refuse":false})");
    LONGS_EQUAL(200, cluster.post("/thumbs", "x", keyed).response.status);
    LONGS_EQUAL(1, cluster.service(0).runsOf("w") + cluster.service(1).runsOf("w"));
}
