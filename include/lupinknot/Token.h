// One generated token.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot {

using TokenId = std::int32_t;

// The id is what a resumed attempt is given as its prefix; the text is what the caller reads. Text is never split into
// tokens again, because that could give other ids.
struct Token {
    TokenId id { 0 };
    std::string text;
};

} // namespace lupinknot
