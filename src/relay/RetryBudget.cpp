#include "relay/RetryBudget.h"

#include "common/NameHash.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

RetryBudget::RetryBudget(const RelaySettings& settings)
    : m_settings(settings)
    , m_rounding(fractionOfName(settings.vmName))
{
}

void RetryBudget::noteRequest(Milliseconds now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

double RetryBudget::part(Milliseconds now) const
{
    const auto earned = m_settings.retryRatio * static_cast<double>(m_requests.size());
    const auto granted = now < m_settings.retrySlackFrom ? 0 : m_settings.retrySlack * m_settings.retrySlackShare;
    return m_settings.retryShare * (earned + granted);
}

bool RetryBudget::take(RetryPurpose purpose, Milliseconds now)
{
    forgetOld(now);
    const auto limit = part(now) * (purpose == RetryPurpose::Rescue ? 1 : m_settings.precautionShare);
    if (static_cast<double>(m_retries.size()) + 1 > limit + m_rounding)
        return false;
    m_retries.push_back(now);
    return true;
}

// The oldest is the one to go: those that have arrived count for as long as any of them.
void RetryBudget::giveBack()
{
    if (!m_retries.empty())
        m_retries.pop_front();
}

void RetryBudget::forgetOld(Milliseconds now)
{
    const auto forget = [this, now](std::deque<Milliseconds>& instants) {
        while (!instants.empty() && now - instants.front() > m_settings.retryWindow)
            instants.pop_front();
    };
    forget(m_requests);
    forget(m_retries);
}

} // namespace lupinknot::internal
