// The stand-in model: each token is a function of the prompt's ids and of all tokens before it.
//
// Whoever knows the prompt can therefore compute the one right answer, and sees every token that is missing, repeated
// or taken from another answer.
#pragma once

#include "lupinknot/Token.h"
#include <string_view>
#include <vector>

namespace lupinknot::internal {

// Not thread-safe; a plain value.
class TokenSequence {
public:
    explicit TokenSequence(const std::vector<TokenId>& prefix);

    // The token that follows everything so far.
    Token next() const;
    // Adds a token to what the next one depends on.
    void push(TokenId);

private:
    std::uint64_t m_state;
};

// Splits a text into words and gives each an id.
std::vector<TokenId> tokenize(std::string_view text);
std::string textOfToken(TokenId);

} // namespace lupinknot::internal
