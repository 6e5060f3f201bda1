// Limits how many requests a VM sends to a candidate version, so that all VMs together stay within the deployment's
// limit without communication and in any order of events.
//
// Load pattern: hundreds of VMs receive an order at the same moment and do not know each other's counts. A bad version
// must not have received more than a share of all requests since the order plus a fixed number.
//
// Each VM limits itself to the share of its own requests since the order plus its part of the fixed number. Fractions
// are rounded by a hash of the VM's name, as for retries (RetryBudget). Used on the relay's thread only.
#pragma once

#include <string>

namespace lupinknot::internal {

// The deployment's limit: a share of all requests, and a fixed number of requests on top of it.
struct ExposureLimit {
    double share { 0.1 };
    double slack { 50 };
};

class ExposureBudget {
public:
    // `slackShare` is this VM's share of the fixed number: 0 for a VM that has just started.
    ExposureBudget(const ExposureLimit&, double slackShare, const std::string& vmName);
    // Counts an incoming request for the service.
    void noteRequest() { ++m_requests; }
    // Consumes the allowance for one request to the candidate; false when none is left.
    bool tryConsume();
    unsigned consumed() const { return m_consumed; }

private:
    const ExposureLimit m_limit;
    const double m_slackShare;
    const double m_rounding;
    unsigned m_requests { 0 };
    unsigned m_consumed { 0 };
};

} // namespace lupinknot::internal
