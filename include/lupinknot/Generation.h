// One answer, assembled from the attempts that run it.
//
// The generation owns the tokens. An attempt is one run on one endpoint. It may append only while it is the current
// attempt, and only at the generation's present length. An attempt that is late, runs beside another one or continues
// after a pause therefore cannot repeat, skip or mix tokens:
//
//     Generation generation({ .maxTokens = 3 });
//     AttemptNumber first = generation.beginAttempt();
//     generation.append(first, 0, { 17, "a" });               // Appended
//     AttemptNumber second = generation.beginAttempt();       // The first endpoint has failed.
//     generation.append(first, 1, { 99, "x" });               // NotCurrentAttempt
//     generation.append(second, 1, { 18, "b" });              // Appended
#pragma once

#include "lupinknot/AppendResult.h"
#include "lupinknot/FinishReason.h"
#include "lupinknot/StopMatcher.h"
#include "lupinknot/Token.h"
#include <optional>
#include <string>
#include <vector>

namespace lupinknot {

// Attempts of one generation are numbered from 1; 0 means none.
using AttemptNumber = std::uint32_t;

// The conditions that end an answer, other than the model's own decision.
struct GenerationLimits {
    std::size_t maxTokens { 16 };
    std::vector<std::string> stops;
};

// Not thread-safe: the owner's lock protects it. Owns its tokens.
class Generation {
public:
    explicit Generation(GenerationLimits);

    // Makes a new attempt the current one. Earlier attempts can no longer append.
    AttemptNumber beginAttempt();
    AttemptNumber currentAttempt() const { return m_currentAttempt; }

    // Takes over the tokens and the state that another VM held. Must be called before the first attempt.
    void adopt(std::vector<Token>, AttemptNumber lastAttempt, std::optional<FinishReason>);

    // Appends a token of an attempt. The position counts from 0 over the whole answer.
    AppendResult append(AttemptNumber, std::size_t position, Token);

    // Ends the answer as the model decided. The position is the length of the answer as the attempt knows it.
    AppendResult finish(AttemptNumber, std::size_t position, FinishReason);

    // Number of tokens held; a resumed attempt gets them as its prefix.
    std::size_t length() const { return m_tokens.size(); }
    // Number of tokens that the caller may see. Smaller than the length only while the end of the text may be the
    // beginning of a stop string.
    std::size_t releasedLength() const { return m_releasedLength; }
    std::size_t remainingTokens() const { return m_limits.maxTokens - m_tokens.size(); }
    const std::vector<Token>& tokens() const { return m_tokens; }
    bool isEnded() const { return m_finishReason.has_value(); }
    std::optional<FinishReason> finishReason() const { return m_finishReason; }

private:
    std::optional<AppendResult> refusal(AttemptNumber, std::size_t position) const;
    void releaseSettledTokens();
    void truncateTextAt(std::size_t textOffset);
    void end(FinishReason);

    GenerationLimits m_limits;
    StopMatcher m_stopMatcher;
    std::vector<Token> m_tokens;
    std::size_t m_releasedLength { 0 };
    // Offset in the whole text at which the first unreleased token begins.
    std::size_t m_releasedOffset { 0 };
    AttemptNumber m_currentAttempt { 0 };
    std::optional<FinishReason> m_finishReason;
};

} // namespace lupinknot
