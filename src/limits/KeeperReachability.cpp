#include "limits/KeeperReachability.h"

#include "limits/LimitKeeper.h"

#include <algorithm>

namespace lupinknot::internal {

bool KeeperReachability::isSkipped(const std::string& name, Milliseconds now) const
{
    const auto silent = m_silent.find(name);
    return silent != m_silent.end() && now - silent->second.askedLastAt < passedOverFor;
}

bool KeeperReachability::noteAnswer(const std::string& name, bool hasAnswered, Milliseconds now)
{
    if (hasAnswered) {
        m_silent.erase(name);
        return false;
    }
    const auto [silent, isNew] = m_silent.try_emplace(name, Silence { now, now });
    silent->second.askedLastAt = now;
    return isNew;
}

double KeeperReachability::shareAsSubstitute(const std::vector<std::string>& before, Milliseconds now) const
{
    const auto isGone = [this, now](const std::string& name) {
        const auto silent = m_silent.find(name);
        return silent != m_silent.end() && now - silent->second.since >= presumedGoneAfter;
    };
    return std::all_of(before.begin(), before.end(), isGone) ? LimitKeeper::primaryShare : LimitKeeper::substituteShare;
}

} // namespace lupinknot::internal
