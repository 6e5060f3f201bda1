// Encodes the tokens of many generations in one batch, in columns.
//
// A token is sent as its id, with its text unless the last text sent over the link for this id was the same. The text
// usually depends on the id alone, but not always, so it is compared each time.
#pragma once

#include "lupinknot/Token.h"
#include <functional>
#include <unordered_map>
#include <vector>

namespace lupinknot::wire {
class JournalBatch;
}

namespace lupinknot::internal {

// The token texts sent over one link. Both ends keep a table and update it in the same order. Not thread-safe.
class TokenTexts {
public:
    // Returns true when this is the last text of the token's id.
    bool isKnown(const Token&) const;
    // Stores a text. Ids that are not in the table are ignored when it is full.
    void storeText(const Token&);
    // The last text of an id; empty when there is none.
    std::string textOf(TokenId) const;

private:
    // About 4 MB with entries of 64 bytes.
    static constexpr std::size_t maxEntries = 65536;

    std::unordered_map<TokenId, std::string> m_texts;
};

// Adds tokens of one stream to a batch.
void addTokens(wire::JournalBatch&, TokenTexts&, std::uint32_t handle, const Token* first, std::size_t count);

// Calls the function with each stream's tokens in a batch. Returns false when the columns are inconsistent.
using TokensCallback = std::function<void(std::uint32_t handle, std::vector<Token>)>;
bool readTokens(const wire::JournalBatch&, TokenTexts&, const TokensCallback&);

} // namespace lupinknot::internal
