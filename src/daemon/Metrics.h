// The daemon's metrics, based on prometheus-cpp.
#pragma once

#include "http/HttpCallListener.h"
#include "lupinknot/FailureKind.h"
#include "lupinknot/RunOutcome.h"
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace lupinknot::internal {

class EndpointTable;

// Thread-safe. The members are created once and refer to the registry.
class Metrics {
public:
    Metrics();

    void countRequest(const std::string& kind, unsigned status);
    void countFailure(FailureKind);
    void countRefusal(RunOutcome);
    // All metrics in the text exposition format, with the current state of the endpoints.
    std::string exposition(const EndpointTable&);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Gauge>& m_inFlight;
    prometheus::Family<prometheus::Gauge>& m_eligible;

public:
    prometheus::Counter& attempts;
    prometheus::Counter& tokens;
    // Tokens of a lost or superseded attempt that were refused.
    prometheus::Counter& refusedTokens;
    prometheus::Counter& resumptions;
    // Milliseconds from the last token before a loss to the first one after it.
    prometheus::Histogram& resumeGap;
    // Milliseconds from the detection of a loss to the first token after it.
    prometheus::Histogram& resumeAfterDetection;
    prometheus::Counter& callersDisconnected;
    prometheus::Gauge& generationsHeld;
    // Connections of callers that were closed to make room for others or refused, and the times at which none could be
    // accepted.
    prometheus::Counter& connectionsDisplaced;
    prometheus::Counter& connectionsRefused;
    prometheus::Counter& connectionsNotAccepted;
};

} // namespace lupinknot::internal
