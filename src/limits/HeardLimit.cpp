#include "limits/HeardLimit.h"

namespace lupinknot::internal {

LimitChange HeardLimit::noteAnswer(std::optional<double> perSecond, Milliseconds sentAt, Milliseconds now)
{
    const bool isNews = perSecond || (m_perSecond && sentAt >= m_heardAt);
    return isNews ? set(perSecond, now) : LimitChange::None;
}

LimitChange HeardLimit::noteNews(std::optional<double> perSecond, Milliseconds heardAt)
{
    return heardAt > m_heardAt ? set(perSecond, heardAt) : LimitChange::None;
}

LimitChange HeardLimit::set(std::optional<double> perSecond, Milliseconds heardAt)
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
