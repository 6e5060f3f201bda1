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

double RetryBudget::part(Milliseconds requestedAt, Milliseconds now) const
{
    const bool isOwnCounted = !m_requests.empty() && now - requestedAt <= m_settings.retryWindow;
    const auto others = static_cast<double>(m_requests.size() - (isOwnCounted ? 1 : 0));
    const bool hasJustStarted = now < m_settings.retrySlackStartsAt;
    const auto earned = m_settings.retryRatio * others * (hasJustStarted ? m_settings.retryShareAfterStart : 1);
    const auto granted = hasJustStarted ? 0 : m_settings.retrySlack * m_settings.retrySlackShare;
    return m_settings.retryShare * (earned + granted);
}

bool RetryBudget::take(RetryPurpose purpose, Milliseconds requestedAt, Milliseconds now)
{
    forgetOld(now);
    const auto limit = part(requestedAt, now) * (purpose == RetryPurpose::Failover ? 1 : m_settings.proactiveShare);
    if (static_cast<double>(m_retries.size()) + 1 > limit + m_rounding)
        return false;
    m_retries.push_back(now);
    return true;
}

// Removes the oldest retry, so that the ones that reached an endpoint count for as long as any of them would.
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
