// Limits retries so that all VMs together stay within the deployment's retry budget without coordination.
//
// The load for which it is designed: every few seconds the engines of a zone fail together, those of the next zone
// within the same window, and engines that are full or have restarted under another name reject the runs that are sent
// on to them. Each VM then loses a few runs at once and sends each of them several times.
//
// Each VM spends at most its part: a ratio of the requests that it took in the last window, plus its share of a fixed
// number. A request does not count towards its own retries: a VM with few requests needs retries just when it has one
// request more than usual, and in a fleet of hundreds that adds up to several hundred retries. In a large fleet a part
// is only a few retries, so that fractions matter: each VM rounds up or down by a hash of its name, so that the sum
// over VMs is the sum of the parts. Retries that save an answer in progress may spend the whole part. Streams that are
// late in any case, proactive retries, and those after a rejection by a full service, which affects all VMs at once,
// leave some of it for the former.
//
// A retry that is lent to another VM counts here as if it was sent at that moment. The borrower may send it later by
// RelaySettings::loanValidity, so it counts for the window and that time, and cannot be returned.
//
// A VM that has just started takes no share of the fixed number for a while, and a smaller share of what its requests
// add to the budget (RelaySettings::retrySlackStartsAt): it knows neither what its previous process has spent nor
// whether other VMs count it already.
//
// One budget per service. Used on the relay's thread only.
#pragma once

#include "admission/RetryPurpose.h"
#include "lupinknot/Clock.h"
#include "retries/LoanDecision.h"
#include "retries/RetryLoanSource.h"
#include <array>
#include <deque>
#include <optional>

namespace lupinknot::internal {

struct RelaySettings;

// The retries of one VM that count at a time.
struct RetryAccount {
    // Retries that the VM may have sent and lent when it takes one for the purpose.
    double allowed { 0 };
    std::size_t sent { 0 };
    std::size_t lent { 0 };
};

class RetryBudget {
public:
    // The settings must outlive the budget.
    explicit RetryBudget(const RelaySettings&);
    RetryBudget(const RetryBudget&) = delete;
    RetryBudget& operator=(const RetryBudget&) = delete;
    void noteRequest(Milliseconds now, unsigned rank = defaultRequestRank);
    // When take() takes a retry if nothing else is taken until then; empty if the VM's part allows none.
    std::optional<Milliseconds> availableAt(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Whether take() would take a retry now.
    bool isLeft(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Takes one retry for the request that was noted at requestedAt; false when the budget is spent.
    bool take(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Returns a retry that was taken but did not reach an endpoint: only those that arrive count.
    void giveBack();
    // Lends a retry to another VM if enough are left.
    LoanDecision lend(RetryPurpose, unsigned rank, Milliseconds now);
    // The decision without its effect.
    LoanDecision decideLoan(RetryPurpose, unsigned rank, Milliseconds now);
    // The account from which take() would take a retry for the purpose.
    RetryAccount accountFor(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Retries sent and lent that count at this time.
    std::size_t spent(Milliseconds now);

private:
    // Retries that this VM may send within the window, including a fraction.
    double part(Milliseconds requestedAt, Milliseconds now) const;
    double shareFor(RetryPurpose) const;
    // When this number of retries allows another one, from the given time on; empty if it allows none.
    std::optional<Milliseconds> returnOfRetry(double allowedRetries, Milliseconds from) const;
    void noteRank(unsigned rank, Milliseconds now);
    unsigned mostUrgentRank(Milliseconds now) const;
    void forgetOld(Milliseconds now);

    const RelaySettings& m_settings;
    // From 0 to 1. A fraction of a retry counts as a whole one if it and this value add up to at least 1.
    const double m_rounding;
    std::deque<Milliseconds> m_requests;
    std::deque<Milliseconds> m_retries;
    std::deque<Milliseconds> m_lentRetries;
    // When a request of the rank was last seen, here or in another VM's request for a loan.
    std::array<std::optional<Milliseconds>, leastUrgentRank + 1> m_ranksSeenAt;
};

} // namespace lupinknot::internal
