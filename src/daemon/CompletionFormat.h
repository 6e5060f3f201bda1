// What callers read of a completion: the events of a stream, or one JSON object.
#pragma once

#include "daemon/GenerationSlice.h"
#include "http/JsonError.h"
#include <string>

namespace lupinknot::internal {

// Names the answer in all of its events.
struct CompletionIdentity {
    std::string generation;
    std::string model;
};

struct CompletionUsage {
    std::size_t promptTokens { 0 };
    std::size_t completionTokens { 0 };
};

// One event for each token. The first has the position given; the id of an event is the number of tokens up to and
// including it, so that a caller who sends it back gets what follows.
std::string tokenEvents(const CompletionIdentity&, std::size_t position, const std::vector<Token>&);
// The events that close a complete stream.
std::string finishEvents(const CompletionIdentity&, FinishReason, const CompletionUsage&);
// The event that closes a stream whose generation was given up.
std::string errorEvent(const JsonError&);

std::string wholeCompletion(const CompletionIdentity&, const std::vector<Token>&, FinishReason, const CompletionUsage&);

// What a caller is told of a generation that was given up.
JsonError refusalOf(const GenerationError&, Milliseconds retryAfter);

} // namespace lupinknot::internal
