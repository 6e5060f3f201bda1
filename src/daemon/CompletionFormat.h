// The format of completions sent to callers: the events of a stream, or one JSON object.
#pragma once

#include "daemon/GenerationSlice.h"
#include "http/JsonError.h"
#include <string>

namespace lupinknot::internal {

// Identifies the answer; part of each of its events.
struct CompletionIdentity {
    std::string generation;
    std::string model;
};

struct CompletionUsage {
    std::size_t promptTokens { 0 };
    std::size_t completionTokens { 0 };
};

// One event for each token. The first token has the given position. The id of an event is the number of tokens up to
// and including its own, so that a caller who sends the id back gets the tokens that follow.
std::string tokenEvents(const CompletionIdentity&, std::size_t position, const std::vector<Token>&);
// The events that end the stream of a complete answer.
std::string finishEvents(const CompletionIdentity&, FinishReason, const CompletionUsage&);
// The event that ends the stream of a generation that was given up.
std::string errorEvent(const JsonError&);

std::string completionBody(const CompletionIdentity&, const std::vector<Token>&, FinishReason, const CompletionUsage&);

// The error that a caller gets for a generation that was given up.
JsonError errorForCaller(const GenerationError&, Milliseconds retryAfter);

} // namespace lupinknot::internal
