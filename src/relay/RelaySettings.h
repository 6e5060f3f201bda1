// Limits, times and weights of the relay. The adapter fills in those that a deployment configures.
#pragma once

#include "admission/AnswerMemory.h"
#include "admission/WaitingRequestLimit.h"
#include "copies/CopyRenewalSettings.h"
#include "http/RequestMemory.h"
#include "lupinknot/Clock.h"
#include "relay/Policy.h"
#include "rollout/ExposureBudget.h"
#include <cmath>
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct RelaySettings {
    // Names of this VM and its availability zone, for logs and for the choice of endpoints.
    std::string vmName;
    std::string availabilityZone;

    // Enabled mechanisms: all unless the operator has disabled some.
    PolicySet policies;

    // Memory for all answers that endpoints are sending, in bytes. The largest answer is given up when they exceed it.
    std::size_t maxAnswerMemory { defaultAnswerMemory };
    // Memory for all requests that callers and other VMs send and that are handled, in bytes.
    std::size_t maxRequestMemory { defaultRequestMemory };

    // Whether to log each endpoint that is added, changed or removed. With hundreds of VMs and engines these are three
    // quarters of all log events, so this is meant for troubleshooting only.
    bool logsEndpoints { false };

    // Retries that all VMs together may send to a service: a share of its requests within the window, plus a fixed
    // number. Set by the deployment.
    double retryRatio { 0.8 };
    double retrySlack { 150 };
    Milliseconds retryWindow { 10000 };
    // Share of the fixed number that this VM uses: one divided by the number of VMs.
    double retrySlackShare { 1.0 / 10 };
    // Number of VMs; a large number while it is unknown.
    std::size_t vmCount() const
    {
        constexpr std::size_t unknownCount = 100;
        return retrySlackShare > 0 ? static_cast<std::size_t>(std::round(1 / retrySlackShare)) : unknownCount;
    }
    // Before this time the VM uses no share of the fixed number, and only a share of what its requests add to the
    // budget: retries that its previous process has sent may still count.
    Milliseconds retrySlackStartsAt { 0 };
    double retryShareAfterStart { 0.7 };
    // Share of the budget that VMs use; the rest makes up for VMs that count at different times and for rounding up.
    double retryShare { 0.84 };
    // Share of this VM's part that may be used for proactive retries, and for calls that a full service rejects.
    double proactiveShare { 0.6 };
    // The same for streams that start over before their first event. The rest is for continuations from a copy, which
    // have only the longest pause left, while a caller without any event can retry without loss.
    double restartShare { 0.75 };
    // The same for streams that are late in any case: their callers gain little from them.
    double lateStreamShare { 0.5 };
    // After this time, a stream that has begun and waits for a retry may use the whole part. The interval between two
    // looks at the budget while it waits.
    Milliseconds retryPatience { 1500 };
    Milliseconds retryCheckInterval { 50 };
    // Share of this VM's part, one retry at least, that it does not lend to other VMs.
    double loanReserveShare { 0.1 };
    // How long a retry that another VM lends may be used, from the moment at which it was asked for.
    Milliseconds loanValidity { 400 };
    // How long a stream waits for such a retry.
    Milliseconds loanSearchTime { 120 };

    // Requests that all VMs together may send to a version whose rollout is undecided. Set by the deployment.
    ExposureLimit exposureLimit {};

    // Timeout for connecting to an endpoint. A round trip between zones takes about 2 ms and accepting a connection
    // costs an endpoint 1 ms; a lost SYN packet is retransmitted only after a second.
    Milliseconds endpointConnectTimeout { 80 };
    // A call on a kept connection that is unanswered for longer than usual, and at least this long, makes the VM check
    // whether it still reaches the endpoint.
    Milliseconds minSilenceBeforeCheck { 200 };
    // Bounds of the delay after which an unanswered idempotent call is also sent to a second endpoint; between them the
    // delay follows from the calls that this VM has seen (ServicePace).
    Milliseconds minHedgeDelay { 10 };
    Milliseconds maxHedgeDelay { 2000 };
    // Longest idle time after which a kept-alive connection still carries a call that must not run twice. The peer may
    // close an idle connection at any time, and a call that is sent while it does may have run.
    Milliseconds maxIdleTimeForSingleRun { 1500 };
    // The same for calls that may run again.
    Milliseconds maxIdleTime { 4000 };
    // How long before the peer's announced close a kept-alive connection is closed.
    Milliseconds idleTimeoutMargin { 700 };

    // Silence of a stream after which its engine is probed, until the timing of the service is known. Events come every
    // 30 ms, or every 150 ms while the engine prefills another prompt.
    Milliseconds probeAfterSilence { 170 };
    // The same when another engine of the availability zone has just failed.
    Milliseconds probeAfterSilenceWhenSuspected { 90 };
    // Timeout of a probe; within a zone the engine answers after about 3 ms.
    Milliseconds probeTimeout { 70 };
    // Interval between probes while a stream stays silent and its engine is alive.
    Milliseconds probeInterval { 150 };
    // Longest interval between two searches for an engine that can take the place of a silent one. The first one is
    // probeInterval.
    Milliseconds maxSilenceReportInterval { 600 };
    // Number of engines, beside the holder of the run's copy, that such a search probes.
    std::size_t substituteCandidates { 2 };
    // Silence after which a stream moves although its engine is alive, as a share of the route's longest pause.
    double moveAfterPauseShare { 0.75 };
    // How long a stream that is to continue from a copy waits until the engine of the run before has answered that it
    // has stopped the run, and how long if it answers that it is busy with another request for the run; the interval
    // between checks. An engine that answers within a round trip delays the stream by no more than that.
    Milliseconds stopAnswerWait { 40 };
    Milliseconds stopBusyWait { 600 };
    Milliseconds stopCheckInterval { 3 };
    // Requests to stop a run whose engine does not say that it has stopped: the interval between two of them, their
    // number, the number of attempts to connect that may fail, and how long answers are awaited.
    Milliseconds runStopInterval { 80 };
    unsigned runStopRequests { 5 };
    unsigned runStopConnectAttempts { 2 };
    Milliseconds runStopTimeout { 4000 };
    // How much longer than the usual prefill time of its prompt a stream waits for its first event before its engine is
    // probed.
    Milliseconds prefillMargin { 300 };
    // Timeout for an engine to copy the KV cache of a run to another engine. Copying 1.6 GB takes 50 ms within a zone
    // and 100 ms between zones, queued behind other copies.
    Milliseconds relocationCopyTimeout { 1500 };
    // The same for the remainder that is copied once the run has stopped, from the end of its stream on, while the
    // caller waits. A run that starts over instead would pause the stream for more than a second.
    Milliseconds relocationStopTimeout { 900 };
    // Moves for the same reason are spread over this time.
    Milliseconds relocationSpread { 600 };
    // A run without a live copy of its KV cache is not moved before this time after its start.
    Milliseconds relocateAfter { 500 };
    // A run that is expected to end sooner than this is not moved: a move costs a copy of its KV cache, a retry and a
    // short pause, and a second failure within this time is rare.
    Milliseconds minTimeLeftForRelocation { 2500 };
    // Copies that are ordered for running runs, in place of such moves.
    CopyRenewalSettings copies {};
    // How long a stream without an event waits for an endpoint when none is available.
    Milliseconds waitForEndpoint { 900 };
    // How long a VM remembers which software versions were listed, and an upper limit of a stream's life over all
    // attempts of its caller.
    Milliseconds streamLifetime { 60000 };
    // A version without endpoints for this long is gone, and with it the streams that began at it. Endpoints that
    // restart after a crash are listed again within about two seconds.
    Milliseconds versionGoneAfter { 3000 };
    // How long a VM searches for the version that began a stream while other VMs or the store do not answer, and the
    // interval between two searches.
    Milliseconds versionSearchTime { 1500 };
    Milliseconds versionSearchInterval { 250 };
    // Interval between attempts to find an available endpoint.
    Milliseconds endpointRetryInterval { 40 };

    // Number of engines whose load is queried before a prompt is sent to one of them: the best according to what this
    // VM knows. Each query has a cost (docs/POLICY.md has the trials).
    std::size_t loadProbeSize { 4 };
    // Timeout of a load query. Within a zone a query takes 1 to 2 ms, and the prefill of the prompt then takes some
    // hundred milliseconds.
    Milliseconds loadProbeTimeout { 60 };
    // After the first answer, the others get the same time again, but no less than this.
    Milliseconds minLoadProbeWait { 5 };

    // How many more calls than others the engine may have that a prompt's hash prefers: for a new request, and for a
    // caller that resumes a stream after an event, whose prompt that engine has probably cached.
    double promptPreference { 1.0 };
    double returningPreference { 100 };

    // How long an endpoint is avoided after it refused a connection, stopped sending, or broke off an answer.
    Milliseconds avoidAfterRefusal { 1500 };
    Milliseconds avoidAfterSilence { 2000 };
    Milliseconds avoidAfterBrokenAnswer { 300 };
    // How long an endpoint is avoided after it rejected a request because it is full.
    Milliseconds avoidAfterRejection { 150 };
    // When this many endpoints of a zone fail within the window, the whole zone is avoided for some time, because the
    // engines of a zone tend to fail together.
    unsigned zoneFailureCount { 2 };
    Milliseconds zoneFailureWindow { 400 };
    Milliseconds avoidZone { 1000 };
    // How long an endpoint of such a zone is suspected if no sign of life has arrived from it since: a failed one stays
    // in the list for three of its heartbeats of 1.2 s.
    Milliseconds suspectAfterZoneFailure { 4000 };
    // How long an endpoint whose entry has disappeared may serve as a last resort: entries also expire while the list's
    // source is unavailable. The adapter sets it from the time that the deployment allows and the maximum age of the
    // list's data.
    Milliseconds removedEndpointGrace { 700 };
    // How long endpoints stay that are missing in the list after its source was restored from an older copy: endpoints
    // that were added after the copy write their entries again, and the update takes time to arrive. The adapter sets
    // this and the next one from the interval at which endpoints write their entries.
    Milliseconds keepMissingEndpointsFor { 2400 };
    // The same for endpoints that the restored list contains although they are known to be gone: the entry of an
    // endpoint that is no longer alive expires within this time.
    Milliseconds ignoreGoneEndpointsFor { 4100 };

    // Time after which a waiting request moves up by one rank; see admission/WaitingRequestLimit.
    Milliseconds rankAgeingTime { WaitingRequestLimit::defaultAgeingTime };

    // Default retry delay of a refused caller.
    Milliseconds retryAfter { 250 };

    // After a shutdown request the VM accepts new requests for the first time, because the load balancer needs two
    // readiness checks to notice, and exits after the second one at the latest.
    Milliseconds stopAcceptsFor { 2600 };
    Milliseconds stopWithin { 7700 };
};

} // namespace lupinknot::internal
