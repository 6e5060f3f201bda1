#include "relay/RetryBudget.h"

#include "common/NameHash.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <vector>

namespace lupinknot::internal {

namespace {

// How long a rank counts as present: requests of a kind that is present arrive several times in this time.
constexpr Milliseconds rankMemory { 5000 };

} // namespace

RetryBudget::RetryBudget(const RelaySettings& settings)
    : m_settings(settings)
    , m_rounding(fractionOfName(settings.vmName))
{
}

void RetryBudget::noteRequest(Milliseconds now, unsigned rank)
{
    forgetOld(now);
    noteRank(rank, now);
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

std::optional<Milliseconds> RetryBudget::availableAt(RetryPurpose purpose, Milliseconds requestedAt, Milliseconds now)
{
    const auto availableNow = returnOfRetry(accountFor(purpose, requestedAt, now).allowed, now);
    const auto slackStart = m_settings.retrySlackStartsAt;
    if (now >= slackStart)
        return availableNow;
    // The part grows when the VM gets its share of the fixed number.
    const auto grown = part(requestedAt, slackStart) * shareFor(purpose) + m_rounding;
    const auto availableLater = returnOfRetry(grown, slackStart);
    return availableNow && availableLater ? std::min(availableNow, availableLater)
                                          : std::max(availableNow, availableLater);
}

std::optional<Milliseconds> RetryBudget::returnOfRetry(double allowedRetries, Milliseconds from) const
{
    const auto allowed = static_cast<std::size_t>(std::max(allowedRetries, 0.0));
    if (allowed == 0)
        return std::nullopt;
    std::vector<Milliseconds> countedUntil;
    for (const auto sentAt : m_retries)
        countedUntil.push_back(sentAt + m_settings.retryWindow);
    for (const auto lentAt : m_lentRetries)
        countedUntil.push_back(lentAt + m_settings.retryWindow + m_settings.loanValidity);
    if (countedUntil.size() < allowed)
        return from;
    const auto needed = countedUntil.begin() + static_cast<std::ptrdiff_t>(countedUntil.size() - allowed);
    std::nth_element(countedUntil.begin(), needed, countedUntil.end());
    return std::max(*needed + Milliseconds { 1 }, from);
}

bool RetryBudget::isLeft(RetryPurpose purpose, Milliseconds requestedAt, Milliseconds now)
{
    const auto account = accountFor(purpose, requestedAt, now);
    return static_cast<double>(account.sent + account.lent) + 1 <= account.allowed;
}

RetryAccount RetryBudget::accountFor(RetryPurpose purpose, Milliseconds requestedAt, Milliseconds now)
{
    forgetOld(now);
    return { part(requestedAt, now) * shareFor(purpose) + m_rounding, m_retries.size(), m_lentRetries.size() };
}

bool RetryBudget::take(RetryPurpose purpose, Milliseconds requestedAt, Milliseconds now)
{
    const bool isTaken = isLeft(purpose, requestedAt, now);
    if (isTaken)
        m_retries.push_back(now);
    return isTaken;
}

// Removes the oldest retry, so that the ones that reached an endpoint count for as long as any of them would.
void RetryBudget::giveBack()
{
    if (!m_retries.empty())
        m_retries.pop_front();
}

LoanDecision RetryBudget::lend(RetryPurpose purpose, unsigned rank, Milliseconds now)
{
    noteRank(rank, now);
    const auto decision = decideLoan(purpose, rank, now);
    if (decision == LoanDecision::Lent)
        m_lentRetries.push_back(now);
    return decision;
}

LoanDecision RetryBudget::decideLoan(RetryPurpose purpose, unsigned rank, Milliseconds now)
{
    forgetOld(now);
    // The request that is to be retried was noted by the borrower, so all requests noted here count.
    const auto notNotedHere = now - m_settings.retryWindow - Milliseconds { 1 };
    const LenderAccount account {
        .part = part(notNotedHere, now),
        .spent = static_cast<double>(spent(now)),
        .rounding = m_rounding,
        .reserveShare = m_settings.loanReserveShare,
        .hasJustStarted = now < m_settings.retrySlackStartsAt,
        .mostUrgentRank = std::min(rank, mostUrgentRank(now)),
    };
    return internal::decideLoan(account, purpose, rank);
}

std::size_t RetryBudget::spent(Milliseconds now)
{
    forgetOld(now);
    return m_retries.size() + m_lentRetries.size();
}

double RetryBudget::shareFor(RetryPurpose purpose) const
{
    switch (purpose) {
    case RetryPurpose::Failover:
    case RetryPurpose::Continuation:
    case RetryPurpose::WaitingStream:
        return 1;
    case RetryPurpose::Restart:
        return m_settings.restartShare;
    case RetryPurpose::LateStream:
        return m_settings.lateStreamShare;
    case RetryPurpose::AfterRejection:
    case RetryPurpose::Proactive:
        break;
    }
    return m_settings.proactiveShare;
}

void RetryBudget::noteRank(unsigned rank, Milliseconds now) { m_ranksSeenAt[std::min(rank, leastUrgentRank)] = now; }

unsigned RetryBudget::mostUrgentRank(Milliseconds now) const
{
    const auto found = std::find_if(m_ranksSeenAt.begin(), m_ranksSeenAt.end(),
        [now](const std::optional<Milliseconds>& seenAt) { return seenAt && now - *seenAt <= rankMemory; });
    return static_cast<unsigned>(found - m_ranksSeenAt.begin());
}

void RetryBudget::forgetOld(Milliseconds now)
{
    const auto forget = [now](std::deque<Milliseconds>& instants, Milliseconds age) {
        while (!instants.empty() && now - instants.front() > age)
            instants.pop_front();
    };
    forget(m_requests, m_settings.retryWindow);
    forget(m_retries, m_settings.retryWindow);
    forget(m_lentRetries, m_settings.retryWindow + m_settings.loanValidity);
}

} // namespace lupinknot::internal
