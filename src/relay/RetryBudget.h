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
// over VMs is the sum of the parts. Retries that save an answer in progress may spend the whole part. Proactive
// retries, and those after a rejection by a full service, which affects all VMs at once, leave some of it for the
// former.
//
// A VM that has just started takes no share of the fixed number for a while, and a smaller share of what its requests
// add to the budget (RelaySettings::retrySlackStartsAt): it knows neither what its previous process has spent nor
// whether other VMs count it already.
//
// One budget per service. Used on the relay's thread only.
#pragma once

#include "admission/RetryPurpose.h"
#include "lupinknot/Clock.h"
#include <deque>

namespace lupinknot::internal {

struct RelaySettings;

class RetryBudget {
public:
    // The settings must outlive the budget.
    explicit RetryBudget(const RelaySettings&);
    RetryBudget(const RetryBudget&) = delete;
    RetryBudget& operator=(const RetryBudget&) = delete;
    void noteRequest(Milliseconds now);
    // Takes one retry for the request that was noted at requestedAt; false when the budget is spent.
    bool take(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Returns a retry that was taken but did not reach an endpoint: only those that arrive count.
    void giveBack();

private:
    // Retries that this VM may send within the window, including a fraction.
    double part(Milliseconds requestedAt, Milliseconds now) const;
    void forgetOld(Milliseconds now);

    const RelaySettings& m_settings;
    // From 0 to 1. A fraction of a retry counts as a whole one if it and this value add up to at least 1.
    const double m_rounding;
    std::deque<Milliseconds> m_requests;
    std::deque<Milliseconds> m_retries;
};

} // namespace lupinknot::internal
