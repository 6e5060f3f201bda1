// The relay's metrics, by prometheus-cpp. Label values come from fixed tables, never from callers.
#pragma once

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

// Thread-safe. Members are set up once and refer into the registry.
class RelayMetrics {
public:
    RelayMetrics();

    void countRequest(RequestKind, unsigned status, Milliseconds took);
    void countFailure(FailureKind);
    std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Histogram>& m_durations;

public:
    // Streams that went on at another engine from a copy of their memory, or by reading the prompt again.
    prometheus::Counter& resumedFromCopy;
    prometheus::Counter& resumedCold;
    // Milliseconds from a stream's last event before a loss to the first one after it.
    prometheus::Histogram& resumeGap;
    prometheus::Counter& engineProbes;
    prometheus::Gauge& configurationVersion;
    prometheus::Gauge& endpointsKnown;
    // Lists of endpoints that came from an older copy of their source.
    prometheus::Counter& restoredLists;
    // Permits for endpoints under a limit.
    prometheus::Counter& permitsGranted;
    prometheus::Counter& permitsDenied;
};

} // namespace lupinknot::internal
