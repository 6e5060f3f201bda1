// Limits retries so that all VMs together keep to the deployment's budget without asking each other.
//
// Load pattern: engines of a zone go together every few seconds, those of the next one within the same window, and
// engines that are full or have started again under another name turn away what is sent on to them. Each VM loses a few
// runs at once and sends each of them several times.
//
// Each VM spends at most its part: a ratio of the requests it took in the last window, plus its share of the fixed
// number. A request does not count towards its own retries: a VM with few requests asks for retries just when it has
// one more than usual, and in a fleet of hundreds that adds up to several hundred retries. Parts are a few retries only
// where VMs are many, so a fraction of one counts: each VM rounds up or down by a hash of its name, and the sum over
// VMs is that of the parts. What saves an answer under way may spend the whole part; what is only a precaution, or
// follows from a full service, which strikes all VMs alike, leaves some for that.
//
// A VM that has just started takes no share of the fixed number for a while, and a smaller one of what it earns
// (RelaySettings::retrySlackStartsAt): it does not know what it has spent before, nor whether others count it already.
//
// One budget for each service. Used on the relay's thread only.
#pragma once

#include "admission/RetryPurpose.h"
#include "lupinknot/Clock.h"
#include <deque>

namespace lupinknot::internal {

struct RelaySettings;

class RetryBudget {
public:
    // The settings outlive the budget.
    explicit RetryBudget(const RelaySettings&);
    RetryBudget(const RetryBudget&) = delete;
    RetryBudget& operator=(const RetryBudget&) = delete;
    void noteRequest(Milliseconds now);
    // Takes one retry out of the budget for the request that was noted at the instant; false when there is none left.
    bool take(RetryPurpose, Milliseconds requestedAt, Milliseconds now);
    // Returns a retry that was taken and has not reached an endpoint: only what arrives counts.
    void giveBack();

private:
    // Retries that this VM may send within the window, with the fraction of one.
    double part(Milliseconds requestedAt, Milliseconds now) const;
    void forgetOld(Milliseconds now);

    const RelaySettings& m_settings;
    // From 0 to 1; a fraction of a retry that is greater than the rest to 1 counts as a whole one.
    const double m_rounding;
    std::deque<Milliseconds> m_requests;
    std::deque<Milliseconds> m_retries;
};

} // namespace lupinknot::internal
