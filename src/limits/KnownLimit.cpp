#include "limits/KnownLimit.h"

namespace lupinknot::internal {

LimitChange KnownLimit::noteAnswer(std::optional<double> perSecond, Milliseconds sentAt, Milliseconds now)
{
    const bool isNews = perSecond || (m_perSecond && sentAt >= m_heardAt);
    if (!isNews)
        return LimitChange::None;
    const bool wasBelieved = isBelieved(now);
    const auto change = set(perSecond, now);
    return change == LimitChange::None && !wasBelieved ? LimitChange::Confirmed : change;
}

LimitChange KnownLimit::notePeerReport(std::optional<double> perSecond, Milliseconds heardAt)
{
    return heardAt > m_heardAt ? set(perSecond, heardAt) : LimitChange::None;
}

LimitChange KnownLimit::set(std::optional<double> perSecond, Milliseconds heardAt)
{
    const auto before = m_perSecond;
    m_perSecond = perSecond;
    m_heardAt = heardAt;
    if (before == perSecond)
        return LimitChange::None;
    if (!perSecond)
        return LimitChange::Ended;
    return before ? LimitChange::Changed : LimitChange::Named;
}

} // namespace lupinknot::internal
