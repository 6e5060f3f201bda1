#include "limits/KnownLimit.h"

namespace lupinknot::internal {

LimitChange KnownLimit::noteAnswer(std::optional<double> perSecond, Milliseconds sentAt, Milliseconds now)
{
    const bool isNewer = perSecond || (m_perSecond && sentAt >= m_statedAt);
    if (!isNewer)
        return LimitChange::None;
    const bool wasFresh = isFresh(now);
    const auto change = set(perSecond, now);
    return change == LimitChange::None && !wasFresh ? LimitChange::Confirmed : change;
}

LimitChange KnownLimit::notePeerReport(std::optional<double> perSecond, Milliseconds statedAt)
{
    return statedAt > m_statedAt ? set(perSecond, statedAt) : LimitChange::None;
}

LimitChange KnownLimit::set(std::optional<double> perSecond, Milliseconds statedAt)
{
    const auto before = m_perSecond;
    m_perSecond = perSecond;
    m_statedAt = statedAt;
    if (before == perSecond)
        return LimitChange::None;
    if (!perSecond)
        return LimitChange::Ended;
    return before ? LimitChange::Changed : LimitChange::Named;
}

} // namespace lupinknot::internal
