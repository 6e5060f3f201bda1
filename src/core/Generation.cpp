#include "lupinknot/Generation.h"

namespace lupinknot {

Generation::Generation(GenerationLimits limits)
    : m_limits(std::move(limits))
    , m_stopMatcher(m_limits.stops)
{
}

AttemptNumber Generation::beginAttempt() { return ++m_currentAttempt; }

void Generation::adopt(std::vector<Token> tokens, AttemptNumber lastAttempt, std::optional<FinishReason> reason)
{
    const auto attempt = beginAttempt();
    for (auto& token : tokens)
        append(attempt, m_tokens.size(), std::move(token));
    m_currentAttempt = lastAttempt;
    if (reason && !isEnded())
        end(*reason);
}

AppendResult Generation::append(AttemptNumber attempt, std::size_t position, Token token)
{
    if (const auto refused = refusal(attempt, position))
        return *refused;
    const auto stop = m_stopMatcher.feed(token.text);
    m_tokens.push_back(std::move(token));
    if (stop) {
        truncateTextAt(*stop);
        end(FinishReason::Stop);
        return AppendResult::Appended;
    }
    releaseSettledTokens();
    if (m_tokens.size() == m_limits.maxTokens)
        end(FinishReason::Length);
    return AppendResult::Appended;
}

AppendResult Generation::finish(AttemptNumber attempt, std::size_t position, FinishReason reason)
{
    if (const auto refused = refusal(attempt, position))
        return *refused;
    end(reason);
    return AppendResult::Appended;
}

std::optional<AppendResult> Generation::refusal(AttemptNumber attempt, std::size_t position) const
{
    if (attempt != m_currentAttempt)
        return AppendResult::NotCurrentAttempt;
    if (isEnded())
        return AppendResult::AlreadyEnded;
    if (position != m_tokens.size())
        return AppendResult::WrongPosition;
    return std::nullopt;
}

void Generation::releaseSettledTokens()
{
    while (m_releasedLength < m_tokens.size()) {
        const auto tokenEnd = m_releasedOffset + m_tokens[m_releasedLength].text.size();
        if (tokenEnd > m_stopMatcher.settledOffset())
            return;
        m_releasedOffset = tokenEnd;
        ++m_releasedLength;
    }
}

// Removes the text from an offset on: shortens the token that contains the offset and removes the later ones.
void Generation::truncateTextAt(std::size_t textOffset)
{
    auto kept = m_releasedLength;
    auto offset = m_releasedOffset;
    while (kept < m_tokens.size() && offset + m_tokens[kept].text.size() <= textOffset)
        offset += m_tokens[kept++].text.size();
    if (kept < m_tokens.size() && offset < textOffset) {
        m_tokens[kept].text.resize(textOffset - offset);
        ++kept;
    }
    m_tokens.resize(kept);
}

void Generation::end(FinishReason reason)
{
    m_finishReason = reason;
    m_releasedLength = m_tokens.size();
}

} // namespace lupinknot
