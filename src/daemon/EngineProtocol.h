// The model engines' published protocol: `POST /v1/completions`, streamed, with token ids.
//
// An attempt asks for `return_token_ids`, so that the first event brings the ids of the prompt and each event the ids
// of its tokens. A resumed attempt sends ids only: those of the prompt and of the tokens so far.
#pragma once

#include "daemon/CompletionRequest.h"
#include "http/HttpRequest.h"
#include "lupinknot/FinishReason.h"
#include "lupinknot/Token.h"

namespace lupinknot::internal {

// What one event of an engine's stream says.
struct EngineEvent {
    // Ids of the prompt; only the first event has them.
    std::vector<TokenId> promptIds;
    std::vector<Token> tokens;
    // The position of the first token within this attempt, where the engine gives one.
    std::optional<std::size_t> position;
    std::optional<FinishReason> finishReason;
    // The stream's closing marker.
    bool isDone { false };
};

struct EnginePrefix {
    std::vector<TokenId> promptIds;
    std::vector<TokenId> generatedIds;
};

struct EngineStreamName {
    std::string id;
    // How long the engine runs on when the connection is lost, for another VM to attach to.
    Milliseconds keepOnDisconnect { 0 };
};

// Makes the request of one attempt. Without a prefix the prompt goes as the caller gave it.
HttpRequest engineRequest(const CompletionRequest&, const EngineStreamName&, const std::optional<EnginePrefix>&);

// Reads the data of one event; nothing when it is malformed.
std::optional<EngineEvent> parseEngineEvent(const std::string& data);

} // namespace lupinknot::internal
