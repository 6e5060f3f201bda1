// The published protocol of the model engines: a streamed `POST /v1/completions` with token ids.
//
// An attempt sets `return_token_ids`, so that the first event has the token ids of the prompt and each event those of
// its tokens. A resumed attempt sends token ids only: those of the prompt and of the tokens generated so far.
#pragma once

#include "daemon/CompletionRequest.h"
#include "http/HttpRequest.h"
#include "lupinknot/FinishReason.h"
#include "lupinknot/Token.h"

namespace lupinknot::internal {

// The content of one event of an engine's stream.
struct EngineEvent {
    // Token ids of the prompt; only in the first event.
    std::vector<TokenId> promptIds;
    std::vector<Token> tokens;
    // The position of the first token within this attempt, if the engine sends one.
    std::optional<std::size_t> position;
    std::optional<FinishReason> finishReason;
    // True for the marker that ends the stream.
    bool isDone { false };
};

struct EnginePrefix {
    std::vector<TokenId> promptIds;
    std::vector<TokenId> generatedIds;
};

struct EngineStreamOptions {
    std::string id;
    // How long the engine continues after the connection is lost, so that another VM can attach to the stream.
    Milliseconds keepOnDisconnect { 0 };
};

// Creates the request of one attempt. Without a prefix, the prompt is sent as the caller sent it.
HttpRequest engineRequest(const CompletionRequest&, const EngineStreamOptions&, const std::optional<EnginePrefix>&);

// Parses the data of one event. Returns nothing when it is malformed.
std::optional<EngineEvent> parseEngineEvent(const std::string& data);

} // namespace lupinknot::internal
