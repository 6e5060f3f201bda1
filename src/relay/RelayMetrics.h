// The relay's metrics, by prometheus-cpp. Label values come from fixed tables, never from callers.
#pragma once

#include "health/ZoneFailureSource.h"
#include "lupinknot/Clock.h"
#include "lupinknot/FailureKind.h"
#include "relay/RequestKind.h"
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace lupinknot::internal {

// Thread-safe. The references are initialised once and point into the registry.
class RelayMetrics {
public:
    RelayMetrics();

    void countRequest(RequestKind, unsigned status, Milliseconds took);
    void countFailure(FailureKind);
    void countZoneFailure(ZoneFailureSource);
    std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Histogram>& m_durations;
    prometheus::Family<prometheus::Counter>& m_zoneFailures;

public:
    // Streams that resumed at another engine from a copy of their KV cache, or by a new prefill of the prompt.
    prometheus::Counter& resumedFromCopy;
    prometheus::Counter& resumedCold;
    // New copies of the KV caches of running streams, and copies that were lost while their stream ran.
    prometheus::Counter& copiesRenewed;
    prometheus::Counter& copiesLost;
    // Time from a stream's last event before a failure to the first one after it, in milliseconds.
    prometheus::Histogram& resumeGap;
    prometheus::Counter& engineProbes;
    prometheus::Gauge& configurationVersion;
    prometheus::Gauge& endpointsKnown;
    // Endpoint lists that came from an older copy of their source.
    prometheus::Counter& restoredLists;
    // Permits for rate-limited endpoints.
    prometheus::Counter& permitsGranted;
    prometheus::Counter& permitsDenied;
    // Usage reports sent, those that were not accepted, and whether this VM is the one that sends them.
    prometheus::Counter& usageReportsSent;
    prometheus::Counter& usageReportsFailed;
    prometheus::Gauge& leadsUsageReports;
    // Retries that other VMs lent to this one, retries that it lent to others, and searches that found no lender.
    prometheus::Counter& retriesBorrowed;
    prometheus::Counter& retriesLent;
    prometheus::Counter& retryLoansRefused;
};

} // namespace lupinknot::internal
