// Engines and services of lupinknotd whose answers end early, at each of their bytes.
#include "CutAnswer.h"
#include "TestCluster.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t promptTokens = 3;
constexpr std::size_t answerTokens = 3;

std::string eventOf(std::size_t position)
{
    nlohmann::json choice { { "text", "t" + std::to_string(position) }, { "token_ids", { position } },
        { "finish_reason", nullptr } };
    if (position + 1 == answerTokens)
        choice["finish_reason"] = "length";
    nlohmann::json event { { "choices", { choice } } };
    if (position == 0)
        event["prompt_token_ids"] = { 11, 12, 13 };
    return "data: " + event.dump() + "\n\n";
}

std::string eventsFrom(std::size_t first)
{
    std::string events;
    for (auto position = first; position < answerTokens; ++position)
        events += eventOf(position);
    return events + "data: [DONE]\n\n";
}

} // namespace

TEST_GROUP(CutEngineAnswer)
{
    boost::asio::io_context ioContext;
    ScriptedEndpoint endpoint { ioContext };
    std::thread thread;
    // Guards the following members, which the endpoint's thread uses.
    std::mutex mutex;
    std::string firstBytes;
    Close close { Close::Orderly };
    unsigned deliveries { 0 };
    // The endpoint answers all requests, those with an expectation first with an interim response.
    bool asksForBody { false };

    void setup() override
    {
        endpoint.onRequest([this](ScriptedConnection& connection, const std::string& request) {
            const std::lock_guard lock(mutex);
            const bool expectsInterim = request.find("Expect:") != std::string::npos;
            if (asksForBody && expectsInterim)
                connection.send("HTTP/1.1 100 Continue\r\n\r\n");
            if (++deliveries == 1 && !asksForBody)
                sendsAndEnds(firstBytes, close)(connection, request);
            else
                answer(connection, request);
        });
        thread = std::thread([this] {
            const auto work = boost::asio::make_work_guard(ioContext);
            ioContext.run();
        });
    }

    void teardown() override
    {
        ioContext.stop();
        thread.join();
    }

    static void answer(ScriptedConnection & connection, const std::string& request)
    {
        const auto body = nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4), nullptr, false);
        if (body.is_object())
            connection.answer(200, "Connection: close\r\n", eventsFrom(body["prompt"].size() - promptTokens));
        else
            connection.answer(200, "Connection: close\r\n", "whole");
        connection.close();
    }

    void cutNextAnswer(const std::string& bytes, Close way)
    {
        const std::lock_guard lock(mutex);
        firstBytes = bytes;
        close = way;
        deliveries = 0;
    }

    unsigned deliveryCount()
    {
        const std::lock_guard lock(mutex);
        return deliveries;
    }

    // Calls back for each cut before which the answer is not complete.
    template <typename Check> void forEachCut(const std::vector<Framing>& framings, Check check)
    {
        for (const auto& framing : framings) {
            for (const auto way : { Close::Orderly, Close::Reset }) {
                const auto text = framing.text("");
                for (std::size_t cut = 0; cut < framing.minBytes("", way) && cut <= text.size(); ++cut) {
                    cutNextAnswer(text.substr(0, cut), way);
                    check(caseName(framing.name, way, cut));
                }
            }
        }
    }

    static std::vector<Framing> framingsOf(const std::string& body)
    {
        const auto half = body.size() / 2;
        char chunks[1000];
        std::snprintf(chunks, sizeof(chunks), "%zx\r\n%s\r\n%04zx\r\n%s\r\n0\r\n\r\n", half,
            body.substr(0, half).c_str(), body.size() - half, body.substr(half).c_str());
        return {
            { "length", okLine, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n", body },
            { "chunks", okLine, "Transfer-Encoding: chunked\r\n\r\n", chunks },
            { "connection", okLine, "\r\n", body, true },
            { "interim response", "HTTP/1.1 100 Continue\r\n\r\n" + okLine, "\r\n", body, true },
        };
    }

    // A cluster whose model and service are served by the scripted endpoint.
    std::unique_ptr<TestCluster> makeCluster()
    {
        auto cluster = std::make_unique<TestCluster>(0);
        cluster->settings.ejection = { Milliseconds { 0 }, Milliseconds { 0 } };
        cluster->settings.platform.address.clear();
        for (auto& known : cluster->settings.endpoints)
            known.port = endpoint.port();
        for (const auto* const name : { "e1", "e2" })
            cluster->settings.endpoints.push_back({ name, "z1", "127.0.0.1", endpoint.port(), { "story" } });
        cluster->start();
        return cluster;
    }
};

TEST(CutEngineAnswer, FailsItsCall)
{
    forEachCut(framingsOf("whole"), [this](const std::string& name) {
        const auto result
            = fetch({ "127.0.0.1", endpoint.port() }, { "POST", "/x", {}, "body" }, Milliseconds { 5000 });
        CHECK_TEXT(result.failure.has_value(), name.c_str());
        LONGS_EQUAL_TEXT(1, deliveryCount(), name.c_str());
    });
}

TEST(CutEngineAnswer, IsNoAnswerToAServiceCallThatMustNotRunTwice)
{
    const auto cluster = makeCluster();
    forEachCut(framingsOf("whole"), [&](const std::string& name) {
        const auto result = cluster->post("/thumbs/1", "text");
        LONGS_EQUAL_TEXT(502, result.response.status, name.c_str());
        LONGS_EQUAL_TEXT(1, deliveryCount(), name.c_str());
        STRCMP_EQUAL_TEXT("unknown",
            std::string(result.response.headers.find("Lupinknot-Outcome").value_or("")).c_str(), name.c_str());
    });
}

TEST(CutEngineAnswer, IsReplacedForAServiceCallThatMayRunAgain)
{
    const auto cluster = makeCluster();
    forEachCut(framingsOf("whole"), [&](const std::string& name) {
        const auto result = cluster->post("/thumbs/1", "text", { { "Lupinknot-Repeatable", "true" } });
        LONGS_EQUAL_TEXT(200, result.response.status, name.c_str());
        STRCMP_EQUAL_TEXT("whole", result.response.body.c_str(), name.c_str());
        LONGS_EQUAL_TEXT(2, deliveryCount(), name.c_str());
    });
}

TEST(CutEngineAnswer, IsContinuedForAGeneration)
{
    const auto cluster = makeCluster();
    forEachCut(framingsOf(eventsFrom(0)), [&](const std::string& name) {
        const auto result = cluster->post("/v1/completions", R"({"model":"story","prompt":[11,12,13],"max_tokens":3})");
        LONGS_EQUAL_TEXT(200, result.response.status, (name + result.response.body).c_str());
        const auto body = nlohmann::json::parse(result.response.body);
        STRCMP_EQUAL_TEXT("[0,1,2]", body["choices"][0]["token_ids"].dump().c_str(), name.c_str());
    });
}

TEST(CutEngineAnswer, IsNoAnswerToAGenerationThatMustNotRunTwice)
{
    const auto cluster = makeCluster();
    forEachCut(framingsOf(eventsFrom(0)), [&](const std::string& name) {
        const auto result = cluster->post("/v1/completions", R"({"model":"story","prompt":[11,12,13],"max_tokens":3})",
            { { "Lupinknot-Repeatable", "false" } });
        const auto body = nlohmann::json::parse(result.response.body);
        // Once it has tokens, a generation is continued.
        if (result.response.status == 200) {
            STRCMP_EQUAL_TEXT("[0,1,2]", body["choices"][0]["token_ids"].dump().c_str(), name.c_str());
            return;
        }
        LONGS_EQUAL_TEXT(502, result.response.status, name.c_str());
        STRCMP_EQUAL_TEXT("unknown", body["error"]["outcome"].get<std::string>().c_str(), name.c_str());
        LONGS_EQUAL_TEXT(1, deliveryCount(), name.c_str());
    });
}

// Guards against a call that fails because its caller announces the body and the service asks for it.
TEST(CutEngineAnswer, IsNotCausedByACallersExpectation)
{
    const auto cluster = makeCluster();
    {
        const std::lock_guard lock(mutex);
        asksForBody = true;
    }
    const auto result = cluster->post("/thumbs/1", "text", { { "Expect", "100-continue" } });
    LONGS_EQUAL(200, result.response.status);
    STRCMP_EQUAL("whole", result.response.body.c_str());
}
