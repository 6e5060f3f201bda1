#include "daemon/Metrics.h"

#include "daemon/EndpointTable.h"

#include <prometheus/text_serializer.h>

namespace lupinknot::internal {

namespace {

const prometheus::Histogram::BucketBoundaries resumeBuckets { 5, 10, 20, 50, 100, 200, 400, 600, 1000, 2000, 5000 };

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauges(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, resumeBuckets);
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counters(*m_registry, "lupinknot_requests_total", "Requests of callers, by kind and status."))
    , m_failures(counters(*m_registry, "lupinknot_attempt_failures_total", "Attempts that failed, by kind of failure."))
    , m_refusals(counters(
          *m_registry, "lupinknot_refusals_total", "Refused or failed requests, by what is known of the work."))
    , m_inFlight(gauges(*m_registry, "lupinknot_endpoint_in_flight", "This VM's requests in flight on an endpoint."))
    , m_eligible(gauges(*m_registry, "lupinknot_endpoint_eligible", "1 when an endpoint may get new work."))
    , attempts(counters(*m_registry, "lupinknot_attempts_total", "Attempts started on model engines.").Add({}))
    , tokens(counters(*m_registry, "lupinknot_tokens_total", "Tokens appended to answers.").Add({}))
    , refusedTokens(counters(
          *m_registry, "lupinknot_refused_tokens_total", "Tokens refused because their attempt was lost or superseded.")
                        .Add({}))
    , resumptions(
          counters(*m_registry, "lupinknot_resumptions_total", "Generations that went on after a loss.").Add({}))
    , resumeGap(histogram(*m_registry, "lupinknot_resume_gap_ms",
          "Milliseconds from the last token before a loss to the first after it."))
    , resumeAfterDetection(histogram(*m_registry, "lupinknot_resume_after_detection_ms",
          "Milliseconds from the detection of a loss to the first token after it."))
    , callersDisconnected(
          counters(*m_registry, "lupinknot_callers_gone_total", "Callers who left before their answer was complete.")
              .Add({}))
    , generationsHeld(
          gauges(*m_registry, "lupinknot_generations_held", "Generations held in memory, running or kept.").Add({}))
    , connectionsDisplaced(counters(*m_registry, "lupinknot_connections_displaced_total",
          "Connections of callers that were closed to make room for others.")
                               .Add({}))
    , connectionsRefused(counters(*m_registry, "lupinknot_connections_refused_total",
          "Connections of callers that were refused because all others were busy.")
                             .Add({}))
    , connectionsNotAccepted(counters(*m_registry, "lupinknot_connections_not_accepted_total",
          "Times at which no connection of a caller could be accepted for lack of descriptors or memory.")
                                 .Add({}))
{
}

void Metrics::countRequest(const std::string& kind, unsigned status)
{
    m_requests.Add({ { "kind", kind }, { "status", std::to_string(status) } }).Increment();
}

void Metrics::countFailure(FailureKind kind)
{
    m_failures.Add({ { "kind", std::string(traitsOf(kind).name) } }).Increment();
}

void Metrics::countRefusal(RunOutcome outcome)
{
    m_refusals.Add({ { "outcome", std::string(nameIn(runOutcomeNames, outcome)) } }).Increment();
}

std::string Metrics::exposition(const EndpointTable& endpoints)
{
    for (const auto& endpoint : endpoints.endpoints()) {
        const prometheus::Labels labels { { "endpoint", endpoint->settings().name } };
        m_inFlight.Add(labels).Set(endpoint->inFlight());
        m_eligible.Add(labels).Set(endpoints.isEligible(*endpoint) ? 1 : 0);
    }
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace lupinknot::internal
