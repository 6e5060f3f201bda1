// Limits, times and weights of the relay. Those that a deployment sets are filled in by its adapter.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/Policy.h"
#include "rollout/ExposureBudget.h"
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct RelaySettings {
    // This VM and its availability zone, for logs and for the choice of endpoints.
    std::string vmName;
    std::string availabilityZone;

    // What the relay decides by; all mechanisms unless the operator has switched some off.
    PolicySet policies;

    // Whether the log names each endpoint that comes, changes or goes. With hundreds of VMs and engines that is three
    // quarters of a log, so it is for the search for a fault.
    bool logsEndpoints { false };

    // Retries that all VMs together may send to a service: a share of its requests within the window, and a fixed
    // number. From the deployment.
    double retryRatio { 0.8 };
    double retrySlack { 150 };
    Milliseconds retryWindow { 10000 };
    // Share of the fixed number that this VM takes for itself: one in the number of VMs.
    double retrySlackShare { 1.0 / 10 };
    // Before this instant the VM takes no share of the fixed number, and only a share of what its requests earn: what
    // the process before it has sent may still count.
    Milliseconds retrySlackStartsAt { 0 };
    double retryShareAfterStart { 0.7 };
    // Share of the budget that VMs spend; the rest covers what VMs count at different instants, and what they round up.
    double retryShare { 0.87 };
    // Share of this VM's part that may go into precautions, and into calls that a full service turns away.
    double precautionShare { 0.6 };

    // Requests that all VMs together may send to a version whose roll-out is undecided. From the deployment.
    ExposureLimit exposureLimit {};

    // Time for a connection to an endpoint to come about. A round trip is about 2 ms between zones and setting one up
    // costs an endpoint 1 ms; a lost opening packet is sent again only after a second.
    Milliseconds endpointConnectTimeout { 80 };
    // Bounds of the time after which an unanswered idempotent call is also sent to a second endpoint; between them it
    // follows from the calls that this VM has seen (ServicePace).
    Milliseconds minHedgeDelay { 10 };
    Milliseconds maxHedgeDelay { 2000 };
    // Longest rest after which a kept connection still carries a call that must not run twice. A peer may close a
    // resting connection at any time, and the call that crosses the close may have run.
    Milliseconds maxIdleTimeForSingleRun { 1500 };
    // The same for calls that may run again.
    Milliseconds maxIdleTime { 4000 };
    // Margin by which a kept connection is given up before its peer says it closes it.
    Milliseconds idleTimeoutMargin { 700 };

    // Silence of a stream after which its engine is asked whether it lives, as long as the pace of the service is not
    // known. Events come every 30 ms, every 150 ms beside a prompt that is being read.
    Milliseconds probeAfterSilence { 170 };
    // The same once another engine of the same availability zone has just failed.
    Milliseconds probeAfterSilenceInDoubt { 90 };
    // Time for the engine to answer that question; in a zone it takes about 3 ms.
    Milliseconds probeTimeout { 70 };
    // Pause between two questions while a stream stays silent and its engine lives.
    Milliseconds probeInterval { 150 };
    // Silence after which a stream moves though its engine lives, counted as share of the route's longest pause.
    double moveAfterPauseShare { 0.75 };
    // A stream waits for its first event this long beyond the usual time of reading its prompt before its engine is
    // asked.
    Milliseconds prefillPatience { 300 };
    // Time for an engine to copy a running request's memory to another one. 1.6 GB take 50 ms in a zone and 100 ms
    // between zones, queued behind other copies.
    Milliseconds relocationCopyTimeout { 1500 };
    // The same for the rest that is copied once the run has stopped; the caller waits for it.
    // Begun anew the stream would pause for more than a second.
    Milliseconds relocationStopTimeout { 900 };
    // Moves for the same reason are spread over this time.
    Milliseconds relocationSpread { 600 };
    // A run without a growing copy is left alone this long after its start.
    Milliseconds relocateAfter { 500 };
    // A run that is expected to end sooner than this is not moved: a move costs a copy of its memory, a retry and a
    // short pause, and a second loss within this time is rare.
    Milliseconds minTimeLeftForRelocation { 2500 };
    // How long a stream without an event waits for an endpoint when none can be asked.
    Milliseconds waitForEndpoint { 900 };
    // Pause between two looks for an endpoint.
    Milliseconds endpointRetryInterval { 40 };

    // Engines that are asked for their load before a prompt is sent to one of them: the best by what this VM knows.
    // Each question has a price (docs/POLICY.md has the trials).
    std::size_t loadProbeSize { 4 };
    // Time for them to answer. In a zone they take 1 to 2 ms, and the prompt then some hundred.
    Milliseconds loadProbeTimeout { 60 };
    // Once one has answered, the others get as long again, but no less than this.
    Milliseconds minLoadProbeWait { 5 };

    // How many calls more than others the engine may have that a prompt's hash prefers: for a new request, and for a
    // caller who comes back behind an event and whose prompt the engine has probably read.
    double promptPreference { 1.0 };
    double returningPreference { 100 };

    // How long an endpoint is avoided after it refused a connection, fell silent, or broke off an answer.
    Milliseconds avoidAfterRefusal { 1500 };
    Milliseconds avoidAfterSilence { 2000 };
    Milliseconds avoidAfterBrokenAnswer { 300 };
    // An endpoint that turned a request away as full is avoided this long.
    Milliseconds avoidAfterRejection { 150 };
    // When this many endpoints of a zone fail within the window, the whole zone is avoided for a while: a zone's
    // engines go together.
    unsigned zoneFailureCount { 2 };
    Milliseconds zoneFailureWindow { 400 };
    Milliseconds avoidZone { 1000 };
    // An endpoint of such a zone of which nothing has been heard since is doubted this long: a dead one stays in the
    // list for three of its heartbeats of 1.2 s.
    Milliseconds suspectAfterZoneFailure { 4000 };
    // An endpoint whose entry has gone may serve as a last resort for this long: entries also lapse while the list's
    // source is away.
    // The adapter sets it from the time that the deployment allows and the age that its news may have.
    Milliseconds leavingEndpointGrace { 700 };
    // After the list's source has come back from an older copy, endpoints that it lacks stay for so long: those that
    // have come since the copy write their entries anew, and the news of it travels. The adapter sets this and the next
    // one from the time between two writes of an endpoint.
    Milliseconds keepMissingEndpointsFor { 2400 };
    // The same for endpoints that it names although they are known to have gone: the entry of one that lives no more
    // lapses within this time.
    Milliseconds ignoreGoneEndpointsFor { 4100 };

    // What a refusal tells the caller to wait.
    Milliseconds retryAfter { 250 };

    // A stop takes new work for the first time, because the balancer needs two looks to notice, and ends at the second
    // at the latest.
    Milliseconds stopAcceptsFor { 2600 };
    Milliseconds stopWithin { 7700 };
};

} // namespace lupinknot::internal
