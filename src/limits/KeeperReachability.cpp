#include "limits/KeeperReachability.h"

#include "limits/LimitKeeper.h"

#include <algorithm>

namespace lupinknot::internal {

bool KeeperReachability::isSkipped(const std::string& name, Milliseconds now) const
{
    const auto unanswered = m_unanswered.find(name);
    return unanswered != m_unanswered.end() && now - unanswered->second.lastRequestAt < skippedFor;
}

bool KeeperReachability::noteAnswer(const std::string& name, bool hasAnswered, Milliseconds now)
{
    if (hasAnswered) {
        m_unanswered.erase(name);
        return false;
    }
    const auto [unanswered, isNew] = m_unanswered.try_emplace(name, UnansweredPeriod { now, now });
    unanswered->second.lastRequestAt = now;
    return isNew;
}

double KeeperReachability::shareAsSubstitute(const std::vector<std::string>& before, Milliseconds now) const
{
    const auto isPresumedGone = [this, now](const std::string& name) {
        const auto unanswered = m_unanswered.find(name);
        return unanswered != m_unanswered.end() && now - unanswered->second.since >= presumedGoneAfter;
    };
    return std::all_of(before.begin(), before.end(), isPresumedGone) ? LimitKeeper::primaryShare
                                                                     : LimitKeeper::substituteShare;
}

} // namespace lupinknot::internal
