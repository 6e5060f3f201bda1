#include "limits/KeeperWatch.h"

#include "limits/LimitKeeper.h"

#include <algorithm>

namespace lupinknot::internal {

bool KeeperWatch::isPassedOver(const std::string& name, Milliseconds now) const
{
    const auto unanswered = m_unanswered.find(name);
    return unanswered != m_unanswered.end() && now - unanswered->second.askedLastAt < skippedFor;
}

bool KeeperWatch::noteAnswer(const std::string& name, bool hasAnswered, Milliseconds now)
{
    if (hasAnswered) {
        m_unanswered.erase(name);
        return false;
    }
    const auto [unanswered, isNew] = m_unanswered.try_emplace(name, UnansweredPeriod { now, now });
    unanswered->second.askedLastAt = now;
    return isNew;
}

double KeeperWatch::shareOfSubstitute(const std::vector<std::string>& before, Milliseconds now) const
{
    const auto isPresumedGone = [this, now](const std::string& name) {
        const auto unanswered = m_unanswered.find(name);
        return unanswered != m_unanswered.end() && now - unanswered->second.since >= goneAfter;
    };
    return std::all_of(before.begin(), before.end(), isPresumedGone) ? LimitKeeper::wholeShare
                                                                     : LimitKeeper::substituteShare;
}

} // namespace lupinknot::internal
