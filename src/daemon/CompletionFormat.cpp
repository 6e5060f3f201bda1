#include "daemon/CompletionFormat.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr auto replaceInvalidUtf8 = json::error_handler_t::replace;

// Engines may split a character over two tokens. JSON does not allow the invalid UTF-8 that results, so it is replaced.
std::string dump(const json& value) { return value.dump(-1, ' ', false, replaceInvalidUtf8); }

json completionObject(const CompletionIdentity& identity, json choice)
{
    choice["index"] = 0;
    return { { "id", identity.generation }, { "object", "text_completion" }, { "model", identity.model },
        { "choices", json::array({ std::move(choice) }) } };
}

json usageOf(const CompletionUsage& usage)
{
    return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens } };
}

struct ErrorStatus {
    GenerationErrorCode code;
    unsigned status;
    bool isWorthRetrying;
};

constexpr std::array<ErrorStatus, 7> errorStatuses { {
    { GenerationErrorCode::NoEndpoint, 503, true },
    { GenerationErrorCode::AttemptsExhausted, 502, true },
    { GenerationErrorCode::MayHaveRun, 502, false },
    { GenerationErrorCode::DeadlineExceeded, 504, false },
    { GenerationErrorCode::Abandoned, 502, false },
    { GenerationErrorCode::NotProtected, 503, true },
    { GenerationErrorCode::TakenOver, 503, true },
} };

} // namespace

std::string tokenEvents(const CompletionIdentity& identity, std::size_t position, const std::vector<Token>& tokens)
{
    std::string events;
    for (const auto& token : tokens) {
        const json choice { { "text", token.text }, { "token_ids", json::array({ token.id }) },
            { "finish_reason", nullptr } };
        events.append("id: ").append(identity.generation).append(":").append(std::to_string(++position));
        events.append("\ndata: ").append(dump(completionObject(identity, choice))).append("\n\n");
    }
    return events;
}

std::string finishEvents(const CompletionIdentity& identity, FinishReason reason, const CompletionUsage& usage)
{
    const json choice { { "text", "" }, { "token_ids", json::array() },
        { "finish_reason", nameIn(finishReasonNames, reason) } };
    auto last = completionObject(identity, choice);
    last["usage"] = usageOf(usage);
    return "data: " + dump(last) + "\n\ndata: [DONE]\n\n";
}

std::string errorEvent(const JsonError& error) { return "event: error\ndata: " + jsonBody(error) + "\n\n"; }

std::string completionBody(const CompletionIdentity& identity, const std::vector<Token>& tokens, FinishReason reason,
    const CompletionUsage& usage)
{
    std::string text;
    auto ids = json::array();
    for (const auto& token : tokens) {
        text.append(token.text);
        ids.push_back(token.id);
    }
    const json choice { { "text", text }, { "token_ids", std::move(ids) },
        { "finish_reason", nameIn(finishReasonNames, reason) } };
    auto completion = completionObject(identity, choice);
    completion["usage"] = usageOf(usage);
    return dump(completion);
}

JsonError errorForCaller(const GenerationError& error, Milliseconds retryAfter)
{
    JsonError refusal;
    refusal.code = nameIn(generationErrorCodeNames, error.code);
    refusal.message = error.message;
    refusal.outcome = error.outcome;
    for (const auto& row : errorStatuses) {
        if (row.code != error.code)
            continue;
        refusal.status = row.status;
        if (row.isWorthRetrying)
            refusal.retryAfter = retryAfter;
    }
    return refusal;
}

} // namespace lupinknot::internal
