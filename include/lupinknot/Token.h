// One generated token.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot {

using TokenId = std::int32_t;

// A resumed attempt gets the ids as its prefix; the caller reads the text. Text is never tokenized again, because that
// could give other ids.
struct Token {
    TokenId id { 0 };
    std::string text;
};

} // namespace lupinknot
