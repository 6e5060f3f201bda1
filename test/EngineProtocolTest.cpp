#include "daemon/EngineProtocol.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

CompletionRequest textRequest()
{
    CompletionRequest request;
    request.model = "m";
    request.prompt = std::string("a b");
    request.limits.maxTokens = 10;
    request.sampling = R"({"top_p":0.5})";
    request.seed = 100;
    return request;
}

} // namespace

TEST_GROUP(EngineProtocol) {};

TEST(EngineProtocol, FirstAttemptSendsThePromptUnchanged)
{
    const auto body = nlohmann::json::parse(engineRequest(textRequest(), { "g:1", {} }, std::nullopt).body);
    STRCMP_EQUAL("a b", body["prompt"].get<std::string>().c_str());
    LONGS_EQUAL(10, body["max_tokens"].get<int>());
    LONGS_EQUAL(100, body["seed"].get<int>());
    CHECK(body["return_token_ids"].get<bool>());
}

TEST(EngineProtocol, ResumedAttemptSendsTokenIdsAndRemainingLimits)
{
    const auto message = engineRequest(textRequest(), { "g:2", {} }, EnginePrefix { { 1, 2 }, { 3, 4, 5 } });
    const auto body = nlohmann::json::parse(message.body);
    STRCMP_EQUAL("[1,2,3,4,5]", body["prompt"].dump().c_str());
    LONGS_EQUAL(7, body["max_tokens"].get<int>());
    LONGS_EQUAL(103, body["seed"].get<int>());
}

TEST(EngineProtocol, ParsesTokensAndPromptTokenIds)
{
    const auto event = parseEngineEvent(
        R"({"prompt_token_ids":[1,2],"choices":[{"text":"ab","token_ids":[7,8],"position":0,"finish_reason":null}]})");
    CHECK_TRUE(event.has_value());
    LONGS_EQUAL(2, event->promptIds.size());
    LONGS_EQUAL(2, event->tokens.size());
    STRCMP_EQUAL("", event->tokens[0].text.c_str());
    STRCMP_EQUAL("ab", event->tokens[1].text.c_str());
    CHECK_FALSE(event->finishReason.has_value());
}

TEST(EngineProtocol, RejectsMalformedEvents)
{
    const char* cases[] = { "{", "[]", "{}", R"({"choices":[]})", R"({"choices":[1]})",
        R"({"choices":[{"token_ids":[1]}]})", R"({"choices":[{"text":"a","token_ids":["x"]}]})",
        R"({"choices":[{"text":"a","token_ids":[]}]})", R"({"choices":[{"text":"a","token_ids":[1],"position":-1}]})",
        R"({"choices":[{"text":"a","token_ids":[1],"finish_reason":"bored"}]})" };
    for (const auto* text : cases)
        CHECK_TEXT(!parseEngineEvent(text), text);
}

TEST(EngineProtocol, RecognisesTheEndMarker) { CHECK(parseEngineEvent("[DONE]")->isDone); }
