// The stand-in model: each token is a function of the prompt's token ids and of all tokens before it.
//
// A caller that knows the prompt can therefore compute the only correct output and detect every token that is missing,
// repeated or taken from another output.
#pragma once

#include "lupinknot/Token.h"
#include <string_view>
#include <vector>

namespace lupinknot::internal {

// Not thread-safe; a value type.
class TokenSequence {
public:
    explicit TokenSequence(const std::vector<TokenId>& prefix);

    // The token that follows the current sequence.
    Token next() const;
    // Appends a token to the sequence.
    void push(TokenId);

private:
    std::uint64_t m_state;
};

// Splits a text into words and maps each to a token id.
std::vector<TokenId> tokenize(std::string_view text);
std::string textOfToken(TokenId);

} // namespace lupinknot::internal
