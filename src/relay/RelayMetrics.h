// The relay's metrics, by prometheus-cpp. Label values come from fixed tables, never from callers.
#pragma once

#include "health/FailureEvidence.h"
#include "health/RetractionReason.h"
#include "health/ZoneFailureSource.h"
#include "http/ConnectionPath.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include "lupinknot/FailureKind.h"
#include "quarantine/CrashRecordSource.h"
#include "quarantine/LossEvidence.h"
#include "relay/AnswerAttribution.h"
#include "relay/RequestKind.h"
#include "relay/RunStopResult.h"
#include <array>
#include <memory>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace lupinknot::internal {

// How a stream ended for its caller.
enum class StreamOutcome {
    InTime,
    Late, // Complete, but its first event or a resumption came too late.
    Refused, // Not run.
    Failed, // Ended after it may have run.
    CallerGone,
};

inline constexpr std::array<EnumName<StreamOutcome>, 5> streamOutcomeNames { {
    { StreamOutcome::InTime, "in-time" },
    { StreamOutcome::Late, "late" },
    { StreamOutcome::Refused, "refused" },
    { StreamOutcome::Failed, "failed" },
    { StreamOutcome::CallerGone, "caller-gone" },
} };

// At which software version a stream continues, compared with the one that generated its first event.
enum class ContinuedAt {
    SameVersion,
    OtherVersion,
    UnknownVersion, // This VM does not know which version generated the first event.
};

inline constexpr std::array<EnumName<ContinuedAt>, 3> continuedAtNames { {
    { ContinuedAt::SameVersion, "same" },
    { ContinuedAt::OtherVersion, "other" },
    { ContinuedAt::UnknownVersion, "unknown" },
} };

// Thread-safe. The references are initialised once and point into the registry.
class RelayMetrics {
public:
    RelayMetrics();

    void countRequest(RequestKind, unsigned status, Milliseconds took);
    void countFailure(FailureKind);
    void countZoneFailure(ZoneFailureSource, FailureEvidence);
    void countZoneRetraction(ZoneFailureSource, RetractionReason);
    // Counts an attempt to connect to an endpoint, directly or through another VM.
    void countEndpointConnection(bool isThroughVm, HopResult);
    // Counts a stream by its rank, empty when the configuration names none, and by how it ended.
    void countStream(std::optional<unsigned> rank, StreamOutcome);
    void countContinuation(ContinuedAt);
    // Counts a stream that this VM ends after its caller has received events; the reason is one of
    // relay/StreamLog's `continuation`.
    void countBrokenOff(std::string_view reason);
    // Counts a record of a crashed endpoint that is new to this VM.
    void countCrashRecord(CrashRecordSource);
    void countLossEvidence(LossEvidence);
    // Counts an answer that does not certainly belong to the delivery that awaits it.
    void countDoubtfulAnswer(AnswerAttribution, bool saysNotRun);
    // Counts a request to an engine to stop a run that this VM had ended.
    void countRunStop(RunStopResult);
    std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Histogram>& m_durations;
    prometheus::Family<prometheus::Counter>& m_zoneFailures;
    prometheus::Family<prometheus::Counter>& m_zoneRetractions;
    prometheus::Family<prometheus::Counter>& m_streams;
    prometheus::Family<prometheus::Counter>& m_endpointConnections;
    prometheus::Family<prometheus::Counter>& m_continuations;
    prometheus::Family<prometheus::Counter>& m_crashRecords;
    prometheus::Family<prometheus::Counter>& m_lossEvidence;
    prometheus::Family<prometheus::Counter>& m_doubtfulAnswers;
    prometheus::Family<prometheus::Counter>& m_runStops;
    prometheus::Family<prometheus::Counter>& m_brokenOff;

public:
    // Streams that resumed at another engine from a copy of their KV cache, or by a new prefill of the prompt.
    prometheus::Counter& resumedFromCopy;
    prometheus::Counter& resumedCold;
    // Silences of runs that ended with an event of the same run.
    prometheus::Counter& silencesEnded;
    // New copies of the KV caches of running streams, and copies that were lost while their stream ran.
    prometheus::Counter& copiesRenewed;
    prometheus::Counter& copiesLost;
    // Time from a stream's last event before a failure to the first one after it, in milliseconds.
    prometheus::Histogram& resumeGap;
    // How long a stream waited for the engine of its run before it continued from a copy, in milliseconds.
    prometheus::Histogram& stopWait;
    // How long a stream that had begun waited for a retry, in milliseconds.
    prometheus::Histogram& retryWait;
    prometheus::Counter& engineProbes;
    prometheus::Gauge& configurationVersion;
    prometheus::Gauge& endpointsKnown;
    // Listed endpoints that are not in use because another one runs at their address.
    prometheus::Gauge& endpointsUnused;
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
    // Whether this VM is partitioned from all endpoints.
    prometheus::Gauge& isPartitioned;
    // Connections to endpoints that this VM made for other VMs, and those that it rejected.
    prometheus::Counter& tunnelsOpened;
    prometheus::Counter& tunnelsRejected;
    // Requests that this VM began to hold back, and attempts that it admitted to try one again.
    prometheus::Counter& quarantineHolds;
    prometheus::Counter& quarantineTrials;
    // Answers that were given up because all answers together needed too much memory.
    prometheus::Counter& answersTooLarge;
    // Requests that were refused because all requests together needed too much memory, and the memory that they need.
    prometheus::Counter& requestsWithoutMemory;
    prometheus::Gauge& requestMemory;
    // Times at which this VM's event loop stood still.
    prometheus::Counter& stalls;
    // Open connections of callers, those that were closed to make room for others or refused, and the times at which
    // none could be accepted.
    prometheus::Gauge& callerConnections;
    prometheus::Counter& connectionsDisplaced;
    prometheus::Counter& connectionsRefused;
    prometheus::Counter& connectionsNotAccepted;
};

} // namespace lupinknot::internal
