#include "standin/TokenSequence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

constexpr std::uint64_t initialState = 0x6c7570696e6b6e6f;
constexpr std::uint64_t vocabularySize = 50000;
// The mantissa of a double holds 53 of the 64 state bits.
constexpr unsigned unusedBits = 11;
constexpr double fullScale = 9007199254740992.0;
constexpr std::array<std::string_view, 16> syllables { "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra",
    "se", "ti", "vo", "wa", "zu" };

std::uint64_t mix(std::uint64_t state, TokenId id) { return XXH3_64bits_withSeed(&id, sizeof(id), state); }

} // namespace

TokenSequence::TokenSequence(const std::vector<TokenId>& prefix)
    : m_state(initialState)
{
    for (const auto id : prefix)
        push(id);
}

Token TokenSequence::next() const
{
    // Zipf's law, as in natural language: the probability of an id falls with its rank, and frequent tokens are short.
    const auto draw = static_cast<double>(m_state >> unusedBits) / fullScale;
    const auto id = static_cast<TokenId>(std::pow(static_cast<double>(vocabularySize), draw)) - 1;
    return { id, textOfToken(id) };
}

void TokenSequence::push(TokenId id) { m_state = mix(m_state, id); }

std::vector<TokenId> tokenize(std::string_view text)
{
    std::vector<TokenId> ids;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        ids.push_back(static_cast<TokenId>(XXH3_64bits(text.data(), end) % vocabularySize));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return ids;
}

std::string textOfToken(TokenId id)
{
    std::string text = " ";
    for (auto rest = static_cast<std::uint32_t>(id); rest; rest /= syllables.size())
        text.append(syllables[rest % syllables.size()]);
    return text;
}

} // namespace lupinknot::internal
