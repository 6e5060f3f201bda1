// A caller's request for a completion, checked.
#pragma once

#include "http/JsonError.h"
#include "lupinknot/Generation.h"
#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lupinknot::internal {

struct HttpRequest;

// The prompt as the caller gave it: text, or ids of tokens.
using Prompt = std::variant<std::string, std::vector<TokenId>>;

struct CompletionRequest {
    std::string organisation;
    // As it came; another VM reads it again.
    std::string body;
    // Empty when the caller gave none.
    std::string idempotencyKey;
    // Of everything in the body; the same key with another body is a mistake of the caller.
    std::uint64_t bodyHash { 0 };
    std::string model;
    Prompt prompt;
    GenerationLimits limits;
    bool wantsStream { false };
    bool repeatable { true };
    Milliseconds timeLimit { 0 };
    // Position after which a returning caller goes on; 0 for the whole answer.
    std::size_t resumePosition { 0 };
    // The generation that the caller names together with the position; empty when there is none.
    std::string resumeGeneration;
    // Sampling fields, as JSON text, that pass to the engine as they came.
    std::string sampling;
    std::optional<std::int64_t> seed;
};

// What a request may ask for.
struct CompletionLimits {
    std::int64_t maxTokens;
    Milliseconds defaultTimeLimit;
};

// Reports a JsonError, which names the field at fault, through Boost.LEAF.
boost::leaf::result<CompletionRequest> parseCompletionRequest(const HttpRequest&, const CompletionLimits&);

} // namespace lupinknot::internal
