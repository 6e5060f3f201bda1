#include "relay/RelayMetrics.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace lupinknot::internal {

namespace {

// In milliseconds. The routes' objectives lie between 100 and 4500.
const prometheus::Histogram::BucketBoundaries durationBounds { 10, 25, 50, 75, 100, 150, 250, 500, 1000, 2500, 5000,
    10000 };
const prometheus::Histogram::BucketBoundaries gapBounds { 50, 100, 200, 300, 400, 500, 600, 700, 1000, 2000, 5000 };

prometheus::Counter& addCounter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& addGauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

RelayMetrics::RelayMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("lupinknot_relay_requests_total")
                     .Help("Requests answered, by kind and status.")
                     .Register(*m_registry))
    , m_failures(prometheus::BuildCounter()
                     .Name("lupinknot_relay_attempt_failures_total")
                     .Help("Attempts that failed, by cause.")
                     .Register(*m_registry))
    , m_durations(prometheus::BuildHistogram()
                      .Name("lupinknot_relay_request_ms")
                      .Help("Time from a request's arrival to its answer, by kind.")
                      .Register(*m_registry))
    , m_zoneFailures(prometheus::BuildCounter()
                         .Name("lupinknot_relay_zone_failures_total")
                         .Help("Failures of whole zones, by who detected them and from what.")
                         .Register(*m_registry))
    , m_zoneRetractions(prometheus::BuildCounter()
                            .Name("lupinknot_relay_zone_failures_retracted_total")
                            .Help("Failures of whole zones that turned out to be none, by who detected them and why.")
                            .Register(*m_registry))
    , m_streams(prometheus::BuildCounter()
                    .Name("lupinknot_relay_streams_total")
                    .Help("Streams ended, by rank and outcome.")
                    .Register(*m_registry))
    , m_endpointConnections(prometheus::BuildCounter()
                                .Name("lupinknot_relay_endpoint_connections_total")
                                .Help("Attempts to connect to an endpoint, by path and result.")
                                .Register(*m_registry))
    , m_continuations(prometheus::BuildCounter()
                          .Name("lupinknot_relay_continuations_total")
                          .Help("Runs that continued a stream, by version compared with the first event's.")
                          .Register(*m_registry))
    , m_crashRecords(prometheus::BuildCounter()
                         .Name("lupinknot_relay_crash_records_total")
                         .Help("Records of endpoints that crashed under a request, by source.")
                         .Register(*m_registry))
    , m_lossEvidence(prometheus::BuildCounter()
                         .Name("lupinknot_relay_judged_losses_total")
                         .Help("Endpoint losses that were evaluated, by what is known about the endpoint.")
                         .Register(*m_registry))
    , m_doubtfulAnswers(prometheus::BuildCounter()
                            .Name("lupinknot_relay_doubtful_answers_total")
                            .Help("Answers that do not certainly belong to the delivery that awaits them.")
                            .Register(*m_registry))
    , m_runStops(prometheus::BuildCounter()
                     .Name("lupinknot_relay_run_stops_total")
                     .Help("Runs that engines were asked to stop because their stream went on elsewhere.")
                     .Register(*m_registry))
    , m_brokenOff(prometheus::BuildCounter()
                      .Name("lupinknot_relay_streams_broken_off_total")
                      .Help("Streams that this VM ended after events had been sent to their callers, by reason.")
                      .Register(*m_registry))
    , resumedFromCopy(addCounter(
          *m_registry, "lupinknot_relay_resumed_from_copy_total", "Streams that went on from a copy of their memory."))
    , resumedCold(addCounter(
          *m_registry, "lupinknot_relay_resumed_cold_total", "Streams that went on by reading the prompt again."))
    , silencesEnded(addCounter(*m_registry, "lupinknot_relay_silences_ended_total",
          "Runs that were silent for too long and went on by themselves."))
    , copiesRenewed(addCounter(*m_registry, "lupinknot_relay_copies_renewed_total",
          "New copies made of the KV caches of running streams whose copy was lost."))
    , copiesLost(addCounter(
          *m_registry, "lupinknot_relay_copies_lost_total", "KV-cache copies lost while their stream was running."))
    , resumeGap(prometheus::BuildHistogram()
                    .Name("lupinknot_relay_resume_gap_ms")
                    .Help("Time between the last event before a loss and the first one after it.")
                    .Register(*m_registry)
                    .Add({}, gapBounds))
    , stopWait(prometheus::BuildHistogram()
                   .Name("lupinknot_relay_stop_wait_ms")
                   .Help("Time for which a stream waited for the engine of its run before it continued from a copy.")
                   .Register(*m_registry)
                   .Add({}, gapBounds))
    , retryWait(prometheus::BuildHistogram()
                    .Name("lupinknot_relay_retry_wait_ms")
                    .Help("Time for which a stream that had begun waited for a retry.")
                    .Register(*m_registry)
                    .Add({}, gapBounds))
    , engineProbes(addCounter(*m_registry, "lupinknot_relay_engine_probes_total", "Questions whether an engine lives."))
    , configurationVersion(
          addGauge(*m_registry, "lupinknot_relay_configuration_version", "The configuration in force."))
    , endpointsKnown(addGauge(*m_registry, "lupinknot_relay_endpoints_known", "Endpoints in the directory."))
    , endpointsUnused(addGauge(*m_registry, "lupinknot_relay_endpoints_unused",
          "Listed endpoints that are not in use because another one runs at their address."))
    , restoredLists(addCounter(*m_registry, "lupinknot_relay_lists_restored_total",
          "Lists of endpoints that came from an older copy of their source."))
    , permitsGranted(addCounter(*m_registry, "lupinknot_relay_permits_granted_total",
          "Requests let through to an endpoint that takes only so many a second."))
    , permitsDenied(addCounter(*m_registry, "lupinknot_relay_permits_denied_total",
          "Requests that an endpoint takes no more now and that went elsewhere, waited or were refused."))
    , usageReportsSent(addCounter(
          *m_registry, "lupinknot_relay_usage_reports_sent_total", "Usage reports sent, repetitions included."))
    , usageReportsFailed(addCounter(*m_registry, "lupinknot_relay_usage_reports_failed_total",
          "Usage reports that were refused or not answered."))
    , leadsUsageReports(
          addGauge(*m_registry, "lupinknot_relay_leads_usage_reports", "1 while this VM sends the usage reports."))
    , retriesBorrowed(addCounter(
          *m_registry, "lupinknot_relay_retries_borrowed_total", "Retries that other VMs have lent to this one."))
    , retriesLent(
          addCounter(*m_registry, "lupinknot_relay_retries_lent_total", "Retries that this VM has lent to others."))
    , retryLoansRefused(addCounter(*m_registry, "lupinknot_relay_retry_loans_refused_total",
          "Retries that this VM needed and no other VM lent in time."))
    , isPartitioned(addGauge(*m_registry, "lupinknot_relay_partitioned_from_endpoints",
          "1 while this VM reaches none of the endpoints that it checks."))
    , tunnelsOpened(addCounter(*m_registry, "lupinknot_relay_tunnels_opened_total",
          "Connections to endpoints made for VMs that do not reach them."))
    , tunnelsRejected(addCounter(*m_registry, "lupinknot_relay_tunnels_rejected_total",
          "Connections to endpoints that another VM asked for and that were not made."))
    , quarantineHolds(addCounter(*m_registry, "lupinknot_relay_quarantine_holds_total",
          "Requests that this VM began to hold back, because endpoints crashed under them."))
    , quarantineTrials(addCounter(*m_registry, "lupinknot_relay_quarantine_trials_total",
          "Attempts that were admitted to try a request again after a hold."))
    , answersTooLarge(addCounter(*m_registry, "lupinknot_relay_answers_too_large_total",
          "Answers given up because all answers together needed too much memory."))
    , requestsWithoutMemory(addCounter(*m_registry, "lupinknot_relay_requests_without_memory_total",
          "Requests refused because all requests together needed too much memory."))
    , requestMemory(
          addGauge(*m_registry, "lupinknot_relay_request_memory_bytes", "Memory of the requests that this VM holds."))
    , stalls(addCounter(*m_registry, "lupinknot_relay_stalls_total", "Times at which the event loop stood still."))
    , callerConnections(addGauge(*m_registry, "lupinknot_relay_caller_connections", "Open connections of callers."))
    , connectionsDisplaced(addCounter(*m_registry, "lupinknot_relay_connections_displaced_total",
          "Connections of callers that were closed to make room for others."))
    , connectionsRefused(addCounter(*m_registry, "lupinknot_relay_connections_refused_total",
          "Connections of callers that were refused because all others were busy."))
    , connectionsNotAccepted(addCounter(*m_registry, "lupinknot_relay_connections_not_accepted_total",
          "Times at which no connection of a caller could be accepted for lack of descriptors or memory."))
{
}

void RelayMetrics::countRequest(RequestKind kind, unsigned status, Milliseconds took)
{
    const std::string kindName(nameIn(requestKindNames, kind));
    m_requests.Add({ { "kind", kindName }, { "status", std::to_string(status) } }).Increment();
    m_durations.Add({ { "kind", kindName } }, durationBounds).Observe(static_cast<double>(took.count()));
}

void RelayMetrics::countFailure(FailureKind kind)
{
    m_failures.Add({ { "failure", std::string(traitsOf(kind).name) } }).Increment();
}

void RelayMetrics::countBrokenOff(std::string_view reason)
{
    m_brokenOff.Add({ { "reason", std::string(reason) } }).Increment();
}

void RelayMetrics::countDoubtfulAnswer(AnswerAttribution attribution, bool saysNotRun)
{
    m_doubtfulAnswers
        .Add({ { "attribution", std::string(nameIn(answerAttributionNames, attribution)) },
            { "says_not_run", saysNotRun ? "true" : "false" } })
        .Increment();
}

void RelayMetrics::countRunStop(RunStopResult result)
{
    m_runStops.Add({ { "result", std::string(nameIn(runStopResultNames, result)) } }).Increment();
}

void RelayMetrics::countZoneFailure(ZoneFailureSource source, FailureEvidence evidence)
{
    m_zoneFailures
        .Add({ { "source", std::string(nameIn(zoneFailureSourceNames, source)) },
            { "evidence", std::string(nameIn(failureEvidenceNames, evidence)) } })
        .Increment();
}

void RelayMetrics::countZoneRetraction(ZoneFailureSource source, RetractionReason reason)
{
    m_zoneRetractions
        .Add({ { "source", std::string(nameIn(zoneFailureSourceNames, source)) },
            { "reason", std::string(nameIn(retractionReasonNames, reason)) } })
        .Increment();
}

void RelayMetrics::countEndpointConnection(bool isThroughVm, HopResult result)
{
    const std::string resultName(nameIn(hopResultNames, result));
    m_endpointConnections.Add({ { "path", isThroughVm ? "vm" : "direct" }, { "result", resultName } }).Increment();
}

void RelayMetrics::countStream(std::optional<unsigned> rank, StreamOutcome outcome)
{
    const auto rankName = rank ? std::to_string(*rank) : std::string("none");
    m_streams.Add({ { "rank", rankName }, { "outcome", std::string(nameIn(streamOutcomeNames, outcome)) } })
        .Increment();
}

void RelayMetrics::countContinuation(ContinuedAt version)
{
    m_continuations.Add({ { "version", std::string(nameIn(continuedAtNames, version)) } }).Increment();
}

void RelayMetrics::countCrashRecord(CrashRecordSource source)
{
    m_crashRecords.Add({ { "source", std::string(nameIn(crashRecordSourceNames, source)) } }).Increment();
}

void RelayMetrics::countLossEvidence(LossEvidence evidence)
{
    m_lossEvidence.Add({ { "evidence", std::string(nameIn(lossEvidenceNames, evidence)) } }).Increment();
}

std::string RelayMetrics::exposition() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_registry->Collect());
    return text.str();
}

} // namespace lupinknot::internal
