// Tokens of many generations in one batch, in columns.
//
// A token costs its id and, unless the same text went over the link with the same id before, its text. The engines'
// texts mostly depend on the id alone, but not always, so the text is compared and never assumed.
#pragma once

#include "lupinknot/Token.h"
#include <functional>
#include <unordered_map>
#include <vector>

namespace lupinknot::wire {
class JournalBatch;
}

namespace lupinknot::internal {

// The texts that went over one link. Both ends keep one and change it in the same order. Not thread-safe.
class TokenTexts {
public:
    // Returns true when this is the text that the id had last.
    bool isKnown(const Token&) const;
    // Notes a text; new ids are no longer noted when the table is full.
    void note(const Token&);
    // The text that an id had last; empty when there is none.
    std::string textOf(TokenId) const;

private:
    // About 4 MB at an entry of 64 bytes.
    static constexpr std::size_t maxEntries = 65536;

    std::unordered_map<TokenId, std::string> m_texts;
};

// Adds tokens of one stream to a batch.
void addTokens(wire::JournalBatch&, TokenTexts&, std::uint32_t handle, const Token* first, std::size_t count);

// Calls back for each stream's tokens in a batch. Returns false when the columns do not fit together.
using TakeTokens = std::function<void(std::uint32_t handle, std::vector<Token>)>;
bool readTokens(const wire::JournalBatch&, TokenTexts&, const TakeTokens&);

} // namespace lupinknot::internal
