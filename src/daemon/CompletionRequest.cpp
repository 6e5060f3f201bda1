#include "daemon/CompletionRequest.h"

#include "common/JsonText.h"
#include "http/HttpRequest.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr std::size_t maxStops = 4;
constexpr std::size_t maxStopBytes = 256;
constexpr std::size_t maxKeyBytes = 255;
constexpr std::int64_t maxTimeLimitMs = 86400000;
constexpr std::string_view defaultOrganisation = "default";

constexpr std::array<std::string_view, 7> samplingFields { "temperature", "top_p", "top_k", "presence_penalty",
    "frequency_penalty", "logit_bias", "user" };
constexpr std::array<std::string_view, 6> parsedFields { "model", "prompt", "max_tokens", "stream", "stop", "seed" };

leaf::error_id invalidField(std::string field, std::string message)
{
    return leaf::new_error(
        JsonError { 400, "invalid_request", std::move(message), std::move(field), RunOutcome::NotRun, {} });
}

std::string foundType(const json& value) { return "; found a value of type " + std::string(value.type_name()); }

template <std::size_t count> bool contains(const std::array<std::string_view, count>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

leaf::result<json> parseBody(const std::string& body)
{
    try {
        auto parsed = parseJson(body);
        if (!parsed.is_object())
            return invalidField("body", "expected a JSON object" + foundType(parsed));
        return parsed;
    } catch (const json::exception& error) {
        return invalidField("body", "expected JSON in UTF-8; " + std::string(error.what()));
    }
}

leaf::result<void> checkFieldNames(const json& body)
{
    for (const auto& entry : body.items()) {
        if (!contains(parsedFields, entry.key()) && !contains(samplingFields, entry.key()))
            return invalidField(entry.key(), "this field is not supported");
    }
    return {};
}

leaf::result<std::string> parseModel(const json& body)
{
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get_ref<const std::string&>().empty())
        return invalidField(
            "model", "expected the name of a model" + (model == body.end() ? "; found none" : foundType(*model)));
    return model->get<std::string>();
}

leaf::result<std::vector<TokenId>> parseTokenIds(const json& array)
{
    std::vector<TokenId> ids;
    for (const auto& element : array) {
        const bool isId
            = element.is_number_unsigned() && element.get<std::uint64_t>() <= std::numeric_limits<TokenId>::max();
        if (!isId)
            return invalidField("prompt",
                "expected a text or a list of token ids, each a whole number from 0 to 2147483647"
                    + foundType(element));
        ids.push_back(element.get<TokenId>());
    }
    return ids;
}

leaf::result<Prompt> parsePrompt(const json& body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end())
        return invalidField("prompt", "expected a text or a list of token ids; found none");
    if (prompt->empty() || (prompt->is_string() && prompt->get_ref<const std::string&>().empty()))
        return invalidField("prompt", "expected a prompt that is not empty");
    if (prompt->is_string())
        return Prompt(prompt->get<std::string>());
    if (!prompt->is_array())
        return invalidField("prompt", "expected a text or a list of token ids" + foundType(*prompt));
    BOOST_LEAF_AUTO(ids, parseTokenIds(*prompt));
    return Prompt(std::move(ids));
}

leaf::result<std::size_t> parseMaxTokens(const json& body, std::int64_t highest)
{
    const auto maxTokens = body.find("max_tokens");
    if (maxTokens == body.end() || maxTokens->is_null())
        return GenerationLimits {}.maxTokens;
    const auto range = "expected a whole number from 1 to " + std::to_string(highest);
    if (!maxTokens->is_number_integer())
        return invalidField("max_tokens", range + foundType(*maxTokens));
    const auto isUnsigned = maxTokens->is_number_unsigned();
    const auto tooLarge = isUnsigned && maxTokens->get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
    if (tooLarge || maxTokens->get<std::int64_t>() < 1)
        return invalidField("max_tokens", range + "; found " + maxTokens->dump());
    return maxTokens->get<std::size_t>();
}

leaf::result<std::vector<std::string>> parseStops(const json& body)
{
    const auto stop = body.find("stop");
    if (stop == body.end() || stop->is_null())
        return std::vector<std::string> {};
    const auto expected = "expected a text or a list of up to " + std::to_string(maxStops) + " texts, each of 1 to "
        + std::to_string(maxStopBytes) + " bytes";
    const auto list = stop->is_array() ? *stop : json::array({ *stop });
    if (list.size() > maxStops)
        return invalidField("stop", expected + "; found " + std::to_string(list.size()));
    std::vector<std::string> stops;
    for (const auto& element : list) {
        const auto isText = element.is_string() && !element.get_ref<const std::string&>().empty()
            && element.get_ref<const std::string&>().size() <= maxStopBytes;
        if (!isText)
            return invalidField("stop", expected + foundType(element));
        stops.push_back(element.get<std::string>());
    }
    return stops;
}

leaf::result<bool> parseStream(const json& body)
{
    const auto stream = body.find("stream");
    if (stream == body.end() || stream->is_null())
        return false;
    if (!stream->is_boolean())
        return invalidField("stream", "expected true or false" + foundType(*stream));
    return stream->get<bool>();
}

leaf::result<std::optional<std::int64_t>> parseSeed(const json& body)
{
    const auto seed = body.find("seed");
    if (seed == body.end() || seed->is_null())
        return std::optional<std::int64_t> {};
    if (!seed->is_number_integer())
        return invalidField("seed", "expected a whole number" + foundType(*seed));
    return std::optional<std::int64_t>(seed->get<std::int64_t>());
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

leaf::result<bool> parseRepeatable(const HttpHeaders& headers)
{
    const auto value = headers.find("Lupinknot-Repeatable");
    if (!value || *value == "true")
        return true;
    if (*value == "false")
        return false;
    return invalidField("Lupinknot-Repeatable", "expected true or false; found \"" + std::string(*value) + "\"");
}

leaf::result<Milliseconds> parseTimeLimit(const HttpHeaders& headers, Milliseconds defaultLimit)
{
    const auto value = headers.find("Lupinknot-Deadline-Ms");
    if (!value)
        return defaultLimit;
    const auto number = parseNumber<std::int64_t>(*value);
    if (!number || *number < 1 || *number > maxTimeLimitMs)
        return invalidField("Lupinknot-Deadline-Ms",
            "expected a whole number from 1 to " + std::to_string(maxTimeLimitMs) + "; found \"" + std::string(*value)
                + "\"");
    return Milliseconds { *number };
}

leaf::result<std::string> parseKey(const HttpHeaders& headers)
{
    const auto value = headers.find("Idempotency-Key");
    if (!value)
        return std::string {};
    if (value->empty() || value->size() > maxKeyBytes)
        return invalidField("Idempotency-Key",
            "expected 1 to " + std::to_string(maxKeyBytes) + " bytes; found " + std::to_string(value->size()));
    return std::string(*value);
}

leaf::result<void> parseLastEventId(const HttpHeaders& headers, CompletionRequest& request)
{
    const auto value = headers.find("Last-Event-ID");
    if (!value)
        return {};
    const auto colon = value->rfind(':');
    const auto position
        = colon == std::string_view::npos ? std::nullopt : parseNumber<std::size_t>(value->substr(colon + 1));
    if (!position)
        return invalidField("Last-Event-ID",
            "expected the id of an event, <generation>:<position>; found \"" + std::string(*value) + "\"");
    if (request.idempotencyKey.empty())
        return invalidField("Idempotency-Key",
            "expected the key of the request whose answer is to go on; found none beside Last-Event-ID");
    request.resumeGeneration = value->substr(0, colon);
    request.resumePosition = *position;
    return {};
}

leaf::result<void> parseHeaders(const HttpHeaders& headers, const CompletionLimits& limits, CompletionRequest& request)
{
    request.organisation = headers.find("Lupinknot-Organisation").value_or(defaultOrganisation);
    BOOST_LEAF_ASSIGN(request.idempotencyKey, parseKey(headers));
    BOOST_LEAF_ASSIGN(request.repeatable, parseRepeatable(headers));
    BOOST_LEAF_ASSIGN(request.timeLimit, parseTimeLimit(headers, limits.defaultTimeLimit));
    return parseLastEventId(headers, request);
}

std::string samplingOf(const json& body)
{
    json sampling = json::object();
    for (const auto& entry : body.items()) {
        if (contains(samplingFields, entry.key()))
            sampling[entry.key()] = entry.value();
    }
    return sampling.dump();
}

} // namespace

leaf::result<CompletionRequest> parseCompletionRequest(const HttpRequest& message, const CompletionLimits& limits)
{
    CompletionRequest request;
    BOOST_LEAF_CHECK(parseHeaders(message.headers, limits, request));
    BOOST_LEAF_AUTO(body, parseBody(message.body));
    BOOST_LEAF_CHECK(checkFieldNames(body));
    BOOST_LEAF_ASSIGN(request.model, parseModel(body));
    BOOST_LEAF_ASSIGN(request.prompt, parsePrompt(body));
    BOOST_LEAF_ASSIGN(request.limits.maxTokens, parseMaxTokens(body, limits.maxTokens));
    BOOST_LEAF_ASSIGN(request.limits.stops, parseStops(body));
    BOOST_LEAF_ASSIGN(request.wantsStream, parseStream(body));
    BOOST_LEAF_ASSIGN(request.seed, parseSeed(body));
    request.body = message.body;
    request.sampling = samplingOf(body);
    // Hashes the parsed body, so that white space and the order of fields make no difference. Whether the answer is
    // streamed is left out, because a caller may return with the other choice.
    body.erase("stream");
    const auto canonical = body.dump();
    request.bodyHash = XXH3_64bits(canonical.data(), canonical.size());
    return request;
}

} // namespace lupinknot::internal
