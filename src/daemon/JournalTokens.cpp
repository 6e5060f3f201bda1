#include "daemon/JournalTokens.h"

#include "peer/generated/Messages.pb.h"

namespace lupinknot::internal {

namespace {

// Value in the column of lengths for an unchanged text of the id. Any other value is the length plus one.
constexpr std::uint32_t knownText = 0;

} // namespace

bool TokenTexts::isKnown(const Token& token) const
{
    const auto entry = m_texts.find(token.id);
    return entry != m_texts.end() && entry->second == token.text;
}

void TokenTexts::storeText(const Token& token)
{
    const auto entry = m_texts.find(token.id);
    if (entry != m_texts.end())
        entry->second = token.text;
    else if (m_texts.size() < maxEntries)
        m_texts.emplace(token.id, token.text);
}

std::string TokenTexts::textOf(TokenId id) const
{
    const auto entry = m_texts.find(id);
    return entry == m_texts.end() ? std::string {} : entry->second;
}

void addTokens(
    wire::JournalBatch& batch, TokenTexts& texts, std::uint32_t handle, const Token* first, std::size_t count)
{
    batch.add_token_handles(handle);
    batch.add_token_counts(static_cast<std::uint32_t>(count));
    for (const auto* token = first; token != first + count; ++token) {
        batch.add_token_ids(token->id);
        if (texts.isKnown(*token)) {
            batch.add_text_lengths(knownText);
            continue;
        }
        texts.storeText(*token);
        batch.add_text_lengths(static_cast<std::uint32_t>(token->text.size()) + 1);
        batch.mutable_texts()->append(token->text);
    }
}

bool readTokens(const wire::JournalBatch& batch, TokenTexts& texts, const TokensCallback& take)
{
    if (batch.token_handles_size() != batch.token_counts_size() || batch.token_ids_size() != batch.text_lengths_size())
        return false;
    int next = 0;
    std::size_t textOffset = 0;
    for (int stream = 0; stream < batch.token_handles_size(); ++stream) {
        std::vector<Token> tokens;
        for (std::uint32_t i = 0; i < batch.token_counts(stream); ++i, ++next) {
            if (next >= batch.token_ids_size())
                return false;
            const auto id = batch.token_ids(next);
            const auto length = batch.text_lengths(next);
            if (length == knownText) {
                tokens.push_back({ id, texts.textOf(id) });
                continue;
            }
            if (textOffset + length - 1 > batch.texts().size())
                return false;
            tokens.push_back({ id, batch.texts().substr(textOffset, length - 1) });
            textOffset += length - 1;
            texts.storeText(tokens.back());
        }
        take(batch.token_handles(stream), std::move(tokens));
    }
    return true;
}

} // namespace lupinknot::internal
