#include "retries/LoanDecision.h"

#include <algorithm>

namespace lupinknot::internal {

LoanDecision decideLoan(const LenderAccount& account, RetryPurpose purpose, unsigned rank)
{
    if (!mayBorrow(purpose))
        return LoanDecision::NotForPurpose;
    if (account.hasJustStarted)
        return LoanDecision::JustStarted;
    const auto reserve = std::max(account.part * account.reserveShare, account.minReserve);
    const auto lendable = std::max(account.part - reserve, 0.0);
    const auto isWithin = [&account](double limit) { return account.spent + 1 <= limit + account.rounding; };
    if (!isWithin(lendable))
        return LoanDecision::Spent;
    const auto forPurpose = lendable * (purpose == RetryPurpose::Restart ? 1 - shareKeptForContinuations : 1);
    if (!isWithin(forPurpose))
        return LoanDecision::KeptForContinuations;
    if (rank > account.mostUrgentRank && !isWithin(forPurpose - lendable * shareKeptForUrgent))
        return LoanDecision::KeptForUrgent;
    return LoanDecision::Lent;
}

} // namespace lupinknot::internal
