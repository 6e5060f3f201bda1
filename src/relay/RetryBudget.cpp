#include "relay/RetryBudget.h"

#include "relay/RelaySettings.h"

#include <cmath>

namespace lupinknot::internal {

RetryBudget::RetryBudget(const RelaySettings& settings)
    : m_settings(settings)
{
}

void RetryBudget::noteRequest(Milliseconds now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

bool RetryBudget::take(RetryPurpose purpose, Milliseconds now)
{
    forgetOld(now);
    const auto earned = m_settings.retryRatio * m_settings.retryRatioShare * static_cast<double>(m_requests.size());
    const auto granted = m_settings.retrySlack * m_settings.retrySlackShare;
    const auto part = earned + granted;
    const auto limit = purpose == RetryPurpose::Rescue ? part + m_settings.rescueDeviations * std::sqrt(part)
                                                       : part * m_settings.precautionShare;
    if (static_cast<double>(m_retries.size()) + 1 > limit)
        return false;
    m_retries.push_back(now);
    return true;
}

void RetryBudget::giveBack()
{
    if (!m_retries.empty())
        m_retries.pop_back();
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
