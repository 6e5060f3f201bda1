// Finds stop strings in text that arrives token by token.
//
// The engines cannot do this across a resumption: a resumed attempt has not generated the first half of a stop string
// itself. The generation therefore does the matching, and the engines do not receive the stop strings.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot {

// Not thread-safe: the owner's lock protects it. Keeps only the end of the text that can still be part of a match.
class StopMatcher {
public:
    // Stop strings must not be empty. Without stop strings nothing matches and no text is held back.
    explicit StopMatcher(std::vector<std::string> stops);

    // Adds the next piece of text. If it completes a stop string, returns the offset in the whole text at which the
    // earliest one begins.
    std::optional<std::size_t> feed(std::string_view piece);

    // Text before this offset can no longer become part of a stop string.
    std::size_t settledOffset() const;

private:
    std::size_t partialMatchLength() const;

    std::vector<std::string> m_stops;
    std::size_t m_longestStopLength { 0 };
    std::string m_tail;
    std::size_t m_tailOffset { 0 };
};

} // namespace lupinknot
