// Stops requests that crash every endpoint that runs them from being retried on one endpoint after another.
//
// Each endpoint loss under a request is first a pending loss. After EndpointLosses::correlationWindow it is evaluated:
// a loss that coincided with others, or of an endpoint that had announced its shutdown, does not count against the
// request. Any other loss goes into the Quarantine and to the other VMs (CrashReports). A request that would be
// quarantined if its pending losses counted waits for the evaluation. When a request is quarantined, its calls in
// progress are notified and new ones are refused.
//
// Silence is no proof of a crash: a loss by silence remains a suspected loss until probes, the list of endpoints or a
// long silence beside endpoints that are alive (SilenceWitnesses) confirm it (LossEvidence). A sign of life from the
// endpoint ends the suspicion, and takes the loss back if it has been counted, also at the other VMs.
//
//     guard.addListener(digest, call);                     // call->requestQuarantined() may follow.
//     guard.noteLoss(loss);
//     switch (guard.quarantineStatus(digest)) ...
//     guard.noteHarmless(digest);
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "quarantine/CrashRecordSource.h"
#include "quarantine/CrashWeight.h"
#include "quarantine/EndpointLosses.h"
#include "quarantine/LossEvidence.h"
#include "quarantine/Quarantine.h"
#include "quarantine/QuarantineStatus.h"
#include "quarantine/ServedRequests.h"
#include "relay/SilenceWitnesses.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

class CrashReports;
class EndpointProbe;
class TrialSource;
class EndpointDirectory;
class RelayEndpoint;
class RelayMetrics;
struct RelaySettings;

// A run that its endpoint did not finish, with the request that it belongs to.
struct LostRun {
    std::string requestId;
    std::string digest;
    std::shared_ptr<RelayEndpoint> endpoint;
    // When the request was sent to the endpoint.
    Milliseconds sentAt { 0 };
    UnfinishedRun run;
};

class QuarantineListener {
public:
    virtual ~QuarantineListener() = default;
    // The request is quarantined from now on. Called from the event loop, never from within a call to the guard.
    virtual void requestQuarantined() = 0;
};

class CrashGuard {
public:
    // Without metrics, nothing is counted.
    CrashGuard(boost::asio::io_context&, const Clock&, const RelaySettings&, const EndpointDirectory&,
        RelayMetrics* = nullptr);
    ~CrashGuard();
    CrashGuard(const CrashGuard&) = delete;
    CrashGuard& operator=(const CrashGuard&) = delete;

    // Publishes the losses of suspect requests durably. Must outlive the guard's use; null when there is no such place.
    void setReports(CrashReports* reports) { m_reports = reports; }
    // Publishes each loss to the other VMs directly. The same applies.
    void setDirectReports(CrashReports* reports) { m_directReports = reports; }

    // Probes endpoints that have become silent. Must outlive the guard's use; null: suspected losses are confirmed by
    // the list of endpoints only.
    void setProbe(EndpointProbe* probe)
    {
        m_probe = probe;
        m_witnesses.setProbe(probe);
    }

    // Decides about trials together with the other VMs. Must outlive the guard's use; null: each VM decides alone.
    void setTrials(TrialSource* trials) { m_trials = trials; }

    // Calls back, possibly before it returns, with whether a new attempt of the request may be served. After a
    // quarantine, the admitted attempt is the trial.
    void admit(const std::string& digest, std::function<void(bool isAdmitted)> callback);
    // When the quarantine ends as far as this VM knows, for a VM that decides about trials; 0 if it knows of none.
    Milliseconds trialFrom(const std::string& digest) const { return m_quarantine.trialFrom(digest); }
    QuarantineStatus quarantineStatus(const std::string& digest) const;
    // Time until the quarantine ends or a trial in progress may be over; at least RelaySettings::retryAfter.
    Milliseconds quarantineTimeLeft(const std::string& digest) const;
    // True when any loss counts against the request, evaluated or pending.
    bool isSuspect(const std::string& digest) const;
    // Notifies the listener when the request is quarantined, until removeListener().
    void addListener(const std::string& digest, const std::shared_ptr<QuarantineListener>&);
    void removeListener(const std::string& digest, const QuarantineListener&);
    void noteLoss(LostRun);
    // An endpoint has been producing events of the request for this long.
    void noteProducing(const std::string& digest, Milliseconds producedFor);
    // The request has been served, or has otherwise shown that endpoints survive it. Clears its losses; further ones do
    // not count against it for ServedRequests::entryLifetime.
    void noteHarmless(const std::string& digest);

    // A record that another VM has published durably, or has withdrawn.
    void addRemoteRecord(const CrashRecord&);
    void removeRemoteRecord(const std::string& digest, const std::string& endpointId);
    // Another VM has reported a crash directly. The times of day of the record are set here; they need only be right
    // relative to each other. Returns false if the crash is known or does not count.
    bool addReportedCrash(const KnownCrash&);
    // Another VM has served the request at an instant of this VM's clock. Returns false if this is known.
    bool noteServedElsewhere(const std::string& digest, Milliseconds servedAt);
    // Another VM has found an endpoint alive whose loss it had reported. Returns false if this is known.
    bool noteAliveElsewhere(const std::string& digest, const std::string& endpointId, Milliseconds aliveAt)
    {
        return m_quarantine.withdraw(digest, endpointId, aliveAt);
    }
    std::vector<KnownCrash> knownCrashes(const std::string& digest) const { return m_quarantine.records(digest); }
    std::optional<KnownCrash> knownCrash(const std::string& digest, const std::string& endpointId) const;
    std::vector<std::string> suspects(double minScore, std::size_t max) const
    {
        return m_quarantine.suspects(minScore, max);
    }
    QuarantineEvidence evidence(const std::string& digest) const { return m_quarantine.evidence(digest); }

private:
    struct PendingLoss {
        LostRun loss;
        EndpointLoss event;
        double weight;
    };

    // A loss by silence after its evaluation.
    struct SuspectedLoss {
        PendingLoss loss;
        // The request was on trial.
        bool endsTrial;
        LossEvidence evidence { LossEvidence::Silent };
        // The first sign of life since the loss.
        std::optional<Milliseconds> aliveAt {};
        // Name of its record while it counts; empty otherwise.
        std::string crashName {};
        // The first and the last sign of life of a witness since the loss, without a longer gap in between.
        std::optional<Milliseconds> othersAliveSince {};
        Milliseconds othersAliveAt { 0 };
        // No witness has shown a sign of life since the loss.
        bool areOthersSilent { false };
    };

    // Probes of one endpoint since it has become silent.
    struct SilentEndpoint {
        unsigned failedConnects { 0 };
        unsigned unansweredProbes { 0 };
        bool isAsked { false };
        Milliseconds nextProbeAt { 0 };
    };

    bool admitAlone(const std::string& digest);
    void logTrial(const std::string& digest, Milliseconds heldUntil) const;
    void scheduleEvaluation();
    void evaluate();
    void evaluate(const PendingLoss&);
    bool isCorrelatedLoss(const PendingLoss&) const;
    // True for a loss by silence whose endpoint has given a sign of life since.
    static bool isAliveAfter(const PendingLoss&);
    CrashRecord recordOf(const PendingLoss&, bool endsTrial) const;
    // Adds the loss to the request's crashes and tells the other VMs. Returns the name of the record.
    std::string count(const PendingLoss&, bool endsTrial);
    void scheduleCheck();
    void checkSuspectedLosses();
    // Applies what is known now about the endpoint of a suspected loss. `silent` has the incarnations that are silent
    // under the same request.
    void update(SuspectedLoss&, const std::set<std::string>& silent);
    void takeBack(SuspectedLoss&);
    // The endpoint that is listed at the address of the lost one now, or null.
    std::shared_ptr<RelayEndpoint> listedAtAddress(const SuspectedLoss&) const;
    std::optional<Milliseconds> firstSignOfLife(const SuspectedLoss&) const;
    // Another incarnation has taken the endpoint's place, or its entry was removed.
    bool isReplaced(const SuspectedLoss&) const;
    bool isRemoved(const SuspectedLoss&) const;
    // True while the request waits for the decision about this loss.
    bool isUndecided(const SuspectedLoss&) const;
    // Notes signs of life of other endpoints.
    void observeOthers(SuspectedLoss&, const std::set<std::string>& silent);
    // The incarnations that are silent under each request, by digest.
    std::unordered_map<std::string, std::set<std::string>> silentIncarnations() const;
    // True if the sign of life came from an incarnation that had taken the endpoint's place.
    bool isReplacedBefore(const SuspectedLoss&, Milliseconds aliveAt) const;
    void probe(const SuspectedLoss&, Milliseconds now);
    // Weight of the losses that are not evaluated yet, and the records that the undecided suspected ones would be.
    double pendingWeight(const std::string& digest) const;
    std::vector<CrashRecord> suspectedRecords(const std::string& digest) const;
    std::int64_t wallClockAt(Milliseconds instant) const;
    // Returns false if the record is known or does not count.
    bool add(const CrashRecord&, Milliseconds lostAt, CrashRecordSource);
    void logHeld(const CrashRecord& last, Milliseconds now) const;
    void notifyListeners(const std::string& digest);
    void scheduleExpiry();

    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    const RelaySettings& m_settings;
    const EndpointDirectory& m_directory;
    RelayMetrics* const m_metrics;
    CrashReports* m_reports { nullptr };
    CrashReports* m_directReports { nullptr };
    TrialSource* m_trials { nullptr };
    EndpointProbe* m_probe { nullptr };
    EndpointLosses m_losses;
    ServedRequests m_served;
    Quarantine m_quarantine;
    // Oldest first.
    std::deque<PendingLoss> m_pendingLosses;
    std::vector<SuspectedLoss> m_suspectedLosses;
    // By incarnation.
    std::map<std::string, SilentEndpoint> m_silentEndpoints;
    SilenceWitnesses m_witnesses;
    // By digest.
    std::unordered_multimap<std::string, std::shared_ptr<QuarantineListener>> m_listeners;
    boost::asio::steady_timer m_evaluationTimer;
    boost::asio::steady_timer m_checkTimer;
    boost::asio::steady_timer m_expiryTimer;
    bool m_isEvaluationScheduled { false };
    bool m_isCheckScheduled { false };
};

} // namespace lupinknot::internal
