#include "daemon/EngineProtocol.h"

#include "common/JsonText.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr std::string_view doneMarker = "[DONE]";

std::optional<std::vector<TokenId>> idsIn(const json& object, const char* name)
{
    const auto array = object.find(name);
    if (array == object.end() || array->is_null())
        return std::vector<TokenId> {};
    if (!array->is_array())
        return std::nullopt;
    std::vector<TokenId> ids;
    for (const auto& element : *array) {
        if (!element.is_number_integer())
            return std::nullopt;
        ids.push_back(element.get<TokenId>());
    }
    return ids;
}

// The text of an event belongs to all of its tokens; it is stored with the last one.
std::vector<Token> tokensOf(const std::vector<TokenId>& ids, const std::string& text)
{
    std::vector<Token> tokens;
    tokens.reserve(ids.size());
    for (const auto id : ids)
        tokens.push_back({ id, "" });
    if (!tokens.empty())
        tokens.back().text = text;
    return tokens;
}

bool readChoice(const json& choice, EngineEvent& event)
{
    const auto ids = idsIn(choice, "token_ids");
    const auto text = choice.find("text");
    if (!ids || text == choice.end() || !text->is_string())
        return false;
    if (ids->empty() && !text->get_ref<const std::string&>().empty())
        return false;
    event.tokens = tokensOf(*ids, text->get<std::string>());
    if (const auto position = choice.find("position"); position != choice.end()) {
        if (!position->is_number_unsigned())
            return false;
        event.position = position->get<std::size_t>();
    }
    const auto reason = choice.find("finish_reason");
    if (reason == choice.end() || reason->is_null())
        return true;
    if (reason->is_string())
        event.finishReason = valueIn(finishReasonNames, reason->get_ref<const std::string&>());
    return event.finishReason.has_value();
}

} // namespace

HttpRequest engineRequest(
    const CompletionRequest& request, const EngineStreamOptions& stream, const std::optional<EnginePrefix>& prefix)
{
    auto body = parseJson(request.sampling);
    body["model"] = request.model;
    body["stream"] = true;
    body["return_token_ids"] = true;
    body["request_id"] = stream.id;
    if (stream.keepOnDisconnect > Milliseconds::zero())
        body["keep_on_disconnect_ms"] = stream.keepOnDisconnect.count();
    std::size_t generated = 0;
    if (prefix) {
        auto ids = prefix->promptIds;
        ids.insert(ids.end(), prefix->generatedIds.begin(), prefix->generatedIds.end());
        body["prompt"] = std::move(ids);
        generated = prefix->generatedIds.size();
    } else {
        std::visit([&body](const auto& prompt) { body["prompt"] = prompt; }, request.prompt);
    }
    body["max_tokens"] = request.limits.maxTokens - generated;
    // A seed fixes the random draws from the first token on. A resumed attempt must not repeat the draws of the tokens
    // that it already has, so it gets another seed.
    if (request.seed)
        body["seed"] = *request.seed + static_cast<std::int64_t>(generated);

    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Accept", "text/event-stream");
    message.body = body.dump();
    return message;
}

std::optional<EngineEvent> parseEngineEvent(const std::string& data)
{
    EngineEvent event;
    if (data == doneMarker) {
        event.isDone = true;
        return event;
    }
    const auto body = tryParseJson(data);
    if (!body.is_object())
        return std::nullopt;
    const auto promptIds = idsIn(body, "prompt_token_ids");
    const auto choices = body.find("choices");
    if (!promptIds || choices == body.end() || !choices->is_array() || choices->size() != 1)
        return std::nullopt;
    event.promptIds = *promptIds;
    const auto& choice = choices->front();
    if (!choice.is_object() || !readChoice(choice, event))
        return std::nullopt;
    return event;
}

} // namespace lupinknot::internal
