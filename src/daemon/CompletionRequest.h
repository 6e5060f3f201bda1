// A caller's request for a completion, after validation.
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

// The prompt as the caller sent it: text or token ids.
using Prompt = std::variant<std::string, std::vector<TokenId>>;

struct CompletionRequest {
    std::string organisation;
    // Unchanged, because a VM that takes the request over parses it again.
    std::string body;
    // Empty when the caller sent none.
    std::string idempotencyKey;
    // Hash of the whole body except whether the answer is streamed. The same key with another body is an error of the
    // caller.
    std::uint64_t bodyHash { 0 };
    std::string model;
    Prompt prompt;
    GenerationLimits limits;
    bool wantsStream { false };
    bool repeatable { true };
    Milliseconds timeLimit { 0 };
    // Number of tokens that a returning caller already has; 0 for the complete answer.
    std::size_t resumePosition { 0 };
    // The generation that the caller sent with the position; empty when there is none.
    std::string resumeGeneration;
    // Sampling fields as JSON text, passed to the engine unchanged.
    std::string sampling;
    std::optional<std::int64_t> seed;
};

// Limits on the fields of a request.
struct CompletionLimits {
    std::int64_t maxTokens;
    Milliseconds defaultTimeLimit;
};

// Errors are reported through Boost.LEAF as a JsonError that names the invalid field.
boost::leaf::result<CompletionRequest> parseCompletionRequest(const HttpRequest&, const CompletionLimits&);

} // namespace lupinknot::internal
