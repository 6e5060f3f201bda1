// Limits how many requests a VM sends to a candidate version, so that all VMs together keep to the deployment's limit
// without asking each other, in any order of events.
//
// Load pattern: hundreds of VMs learn of an order at the same moment and know nothing of each other's counts; a version
// that is bad must not have received more than a share of all requests since the order, and a fixed number.
//
// Each VM keeps to the share of its own requests since the order and to its part of the fixed number. Fractions are
// rounded by a hash of the VM's name, as for retries (RetryBudget). Used on the relay's thread only.
#pragma once

#include <string>

namespace lupinknot::internal {

// From the deployment.
struct ExposureLimit {
    double share { 0.1 };
    double slack { 50 };
};

class ExposureBudget {
public:
    // `slackShare` is this VM's share of the fixed number: nothing for one that has just started.
    ExposureBudget(const ExposureLimit&, double slackShare, const std::string& vmName);
    // A request for the service has come in.
    void noteRequest() { ++m_requests; }
    // Takes one sending to the candidate; false when none is left.
    bool take();
    unsigned taken() const { return m_taken; }

private:
    const ExposureLimit m_limit;
    const double m_slackShare;
    const double m_rounding;
    unsigned m_requests { 0 };
    unsigned m_taken { 0 };
};

} // namespace lupinknot::internal
