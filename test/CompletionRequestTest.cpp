#include "daemon/CompletionRequest.h"
#include "http/HttpRequest.h"

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

namespace leaf = boost::leaf;

constexpr CompletionLimits limits { 100, Milliseconds { 5000 } };

HttpRequest message(const std::string& body, HttpHeaders headers = {})
{
    return { "POST", "/v1/completions", std::move(headers), body };
}

// The invalid field and the error message; "none" when the request is valid.
std::string parseErrorOf(const HttpRequest& request)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parseCompletionRequest(request, limits));
            return std::string("none");
        },
        [](const JsonError& error) { return error.field + ": " + error.message; },
        [] { return std::string("an error of another type"); });
}

CompletionRequest parsed(const HttpRequest& request)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<CompletionRequest> { return parseCompletionRequest(request, limits); },
        [] { return CompletionRequest {}; });
}

struct BadRequest {
    const char* body;
    const char* expected;
};

} // namespace

TEST_GROUP(CompletionRequest) {};

TEST(CompletionRequest, ParsesEveryField)
{
    const auto request
        = parsed(message(R"({"model":"m","prompt":"a b","max_tokens":7,"stream":true,"stop":"x","seed":3,"top_p":0.5})",
            { { "Idempotency-Key", "k" }, { "Last-Event-ID", "g-1:4" }, { "Lupinknot-Repeatable", "false" },
                { "Lupinknot-Deadline-Ms", "900" } }));
    STRCMP_EQUAL("m", request.model.c_str());
    STRCMP_EQUAL("a b", std::get<std::string>(request.prompt).c_str());
    LONGS_EQUAL(7, request.limits.maxTokens);
    STRCMP_EQUAL("x", request.limits.stops.front().c_str());
    CHECK(request.wantsStream);
    CHECK_FALSE(request.repeatable);
    LONGS_EQUAL(3, *request.seed);
    LONGS_EQUAL(900, request.timeLimit.count());
    STRCMP_EQUAL("g-1", request.resumeGeneration.c_str());
    LONGS_EQUAL(4, request.resumePosition);
    STRCMP_EQUAL(R"({"top_p":0.5})", request.sampling.c_str());
}

TEST(CompletionRequest, ReportsTheInvalidField)
{
    const BadRequest cases[] = {
        { "{", "body: expected JSON in UTF-8" },
        { "[]", "body: expected a JSON object; found a value of type array" },
        { "\"\xff\"", "body: expected JSON in UTF-8" },
        { R"({"prompt":"a"})", "model: expected the name of a model; found none" },
        { R"({"model":"m"})", "prompt: expected a text or a list of token ids; found none" },
        { R"({"model":"m","prompt":""})", "prompt: expected a prompt that is not empty" },
        { R"({"model":"m","prompt":[1,"a"]})", "prompt: expected a text or a list of token ids, each a whole number" },
        { R"({"model":"m","prompt":[3000000000]})",
            "prompt: expected a text or a list of token ids, each a whole number" },
        { R"({"model":"m","prompt":"a","max_tokens":101})",
            "max_tokens: expected a whole number from 1 to 100; found 101" },
        { R"({"model":"m","prompt":"a","max_tokens":18446744073709551615})",
            "max_tokens: expected a whole number from 1 to 100" },
        { R"({"model":"m","prompt":"a","max_tokens":1.5})",
            "max_tokens: expected a whole number from 1 to 100; found a value" },
        { R"({"model":"m","prompt":"a","stop":["a","b","c","d","e"]})",
            "stop: expected a text or a list of up to 4 texts" },
        { R"({"model":"m","prompt":"a","stop":""})", "stop: expected a text or a list of up to 4 texts" },
        { R"({"model":"m","prompt":"a","stream":"yes"})",
            "stream: expected true or false; found a value of type string" },
        { R"({"model":"m","prompt":"a","n":2})", "n: this field is not supported" },
    };
    for (const auto& bad : cases)
        STRCMP_CONTAINS(bad.expected, parseErrorOf(message(bad.body)).c_str());
}

TEST(CompletionRequest, ReportsTheInvalidHeader)
{
    const auto with = [](const char* name, const char* value) {
        return parseErrorOf(message(R"({"model":"m","prompt":"a"})", { { name, value } }));
    };
    STRCMP_CONTAINS(
        "Lupinknot-Repeatable: expected true or false; found \"no\"", with("Lupinknot-Repeatable", "no").c_str());
    STRCMP_CONTAINS(
        "Lupinknot-Deadline-Ms: expected a whole number from 1", with("Lupinknot-Deadline-Ms", "soon").c_str());
    STRCMP_CONTAINS("Last-Event-ID: expected the id of an event", with("Last-Event-ID", "g1").c_str());
    STRCMP_CONTAINS("Idempotency-Key: expected the key of the request", with("Last-Event-ID", "g1:2").c_str());
    STRCMP_CONTAINS("Idempotency-Key: expected 1 to 255 bytes; found 0", with("Idempotency-Key", "").c_str());
}

TEST(CompletionRequest, HashIgnoresFieldOrderWhiteSpaceAndStream)
{
    const auto one = parsed(message(R"({"model":"m","prompt":"a"})"));
    const auto formattedDifferently = parsed(message(R"({ "prompt": "a", "model": "m", "stream": true })"));
    const auto another = parsed(message(R"({"model":"m","prompt":"b"})"));
    CHECK(one.bodyHash == formattedDifferently.bodyHash);
    CHECK(one.bodyHash != another.bodyHash);
}
