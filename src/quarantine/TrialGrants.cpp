#include "quarantine/TrialGrants.h"

#include "quarantine/Quarantine.h"

namespace lupinknot::internal {

TrialDecision TrialGrants::decide(const std::string& digest, Milliseconds heldUntil, Milliseconds now)
{
    if (now < heldUntil)
        return { TrialAnswer::Denied, heldUntil - now };
    std::erase_if(m_trialUntil, [now](const auto& trial) { return now >= trial.second; });
    if (const auto trial = m_trialUntil.find(digest); trial != m_trialUntil.end())
        return { TrialAnswer::Denied, trial->second - now };
    if (m_trialUntil.size() >= maxGrants)
        return { TrialAnswer::Denied, Quarantine::maxTrialTime };
    m_trialUntil[digest] = now + Quarantine::maxTrialTime;
    return { TrialAnswer::Granted };
}

} // namespace lupinknot::internal
