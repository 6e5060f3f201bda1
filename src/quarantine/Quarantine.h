// Holds back requests whose endpoints have crashed while running them.
//
//     Quarantine quarantine(vmName);
//     quarantine.add(record, now, false);             // Seen by this VM; true if another VM reported it.
//     if (quarantine.isHeld(digest, now)) ...         // Until heldUntil(digest).
//     quarantine.clear(digest, now);                  // It has been served, or has run for long.
//
// A request is held after the third endpoint that crashed under it; two half suspicions count as one. The first hold is
// short, and then one attempt at a time is admitted as a trial: a request that was running when a small service went
// down may look the same, and its trial clears it. If the trial crashes its endpoint, the request is held for long. One
// VM decides about trials for all (TrialSource). VMs that it does not answer end a hold at different times, so that the
// first trial is over before other VMs begin one. Each endpoint incarnation
// counts once, whichever VM reports it. Crashes at the same address count half from the second one on, because the
// endpoint itself may be faulty.
//
// Concurrent runs of one request that were lost simultaneously in one zone count as one: many callers may send the same
// request, and a common cause took their endpoints down. A request that crashes its endpoints loses them one by one.
//
// No input or output, no clock: times are parameters. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "quarantine/CrashRecord.h"
#include "quarantine/KnownCrash.h"
#include "quarantine/QuarantineEvidence.h"
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class Quarantine {
public:
    // The VM's name determines when its holds end relative to those of other VMs.
    explicit Quarantine(std::string_view vmName);
    // Adds a record; `at` is when the endpoint was lost. Returns false if the record has no effect: the endpoint is
    // known, or the request has too many records. The loss of a trial always takes effect and renews a hold, also if
    // there is no room to store its record. Records with `isShared` need not be sent to other VMs.
    bool add(const CrashRecord&, Milliseconds at, bool isShared);
    // The name for the record of a loss under which the request was sent to the endpoint at `sentAt`. An endpoint may
    // start again under its name while its new entry is not known: a loss of a run that was sent after the last
    // recorded one is another crash and gets a name of its own.
    std::string crashName(const std::string& digest, const std::string& endpointId, Milliseconds sentAt) const;
    // Returns the records of the request that other VMs should receive now, each record once: all of them, as soon as
    // they add up to one full suspicion. Sharing every half suspicion would take more calls to the store, which are
    // billed.
    std::vector<CrashRecord> takeUnshared(const std::string& digest);
    // Removes a record that a VM has withdrawn, and ends a hold for which the others are not sufficient.
    void remove(const std::string& digest, const std::string& endpointId);
    // Removes the record of an endpoint that was alive at `aliveAt`, and ignores those of its losses until then that
    // other VMs report later. Returns false if this is known.
    bool withdraw(const std::string& digest, const std::string& endpointId, Milliseconds aliveAt);
    // True if the record of this loss was withdrawn.
    bool isWithdrawn(const std::string& digest, const std::string& endpointId, Milliseconds lostAt) const;
    // Removes all records of the request, which has been served at `now`. Returns the endpoints whose records must be
    // withdrawn from other VMs: all shared ones if one more suspicion would hold the request. Fewer records do no harm,
    // and each withdrawal costs a call.
    std::vector<std::string> clear(const std::string& digest, Milliseconds now);
    // Another VM has served the request: removes the records of losses until then, and ignores those that other VMs
    // report later. Returns false if nothing changed.
    bool clearBefore(const std::string& digest, Milliseconds servedAt);
    // True if the request was cleared after the loss.
    bool isClearedSince(const std::string& digest, Milliseconds lostAt) const;
    // Removes records older than recordLifetime, and requests that have none left and are not held.
    void forgetOld(Milliseconds now);

    // True if there are records against the request.
    bool isSuspect(const std::string& digest) const { return m_suspects.count(digest) > 0; }
    bool isHeld(const std::string& digest, Milliseconds now) const { return now < heldUntil(digest); }
    // 0 for a request that has not been held.
    Milliseconds heldUntil(const std::string& digest) const;
    // Returns whether a new attempt of the request may start. After a hold, the attempt is the trial; no other attempt
    // is admitted until it has ended or maxTrialTime has passed.
    bool admit(const std::string& digest, Milliseconds now);
    // The end of the hold where one VM decides about trials for all; 0 for a request that has not been held.
    Milliseconds trialFrom(const std::string& digest) const;
    // Another VM has granted the trial to this one: the hold ends here, and the next attempt is the trial.
    void beginTrial(const std::string& digest, Milliseconds now);
    // Another VM has denied a trial: this VM does not ask again before this time.
    void denyTrialUntil(const std::string& digest, Milliseconds instant);
    // The time until which no trial is admitted: the end of the hold, or of a trial in progress.
    Milliseconds noTrialUntil(const std::string& digest) const;
    // True if the request has been held and not been cleared since; its next crash is that of a trial.
    bool isOnTrial(const std::string& digest, Milliseconds now) const;
    // True if evidence of weight `more` from other endpoints, together with these records, would hold the request.
    bool wouldBeHeld(const std::string& digest, double more, const std::vector<CrashRecord>& = {}) const;
    QuarantineEvidence evidence(const std::string& digest) const;
    // The records of the request, in the order of their endpoints.
    std::vector<KnownCrash> records(const std::string& digest) const;
    // The requests with at least this sum of weights, at most `max`, the one with the newest loss first.
    std::vector<std::string> suspects(double minScore, std::size_t max) const;
    // The longest time that a lost endpoint had worked on the request.
    Milliseconds longestWork(const std::string& digest) const;
    std::size_t suspectCount() const { return m_suspects.size(); }

    // Sum of weights from which a request is held: one crash or two may be coincidence.
    static constexpr double holdThreshold = 3;
    static constexpr double shareThreshold = 1;
    // How long a request is held after the last crash: at first, and after a failed trial. Engines restart within
    // seconds; a new version of their software takes longer than ten minutes.
    static constexpr Milliseconds firstHold { 10'000 };
    static constexpr Milliseconds longHold { 600'000 };
    // Maximum extension of the first hold at a VM that no other VM tells of trials; depends on the VM's name. A trial
    // is decided within a few seconds.
    static constexpr Milliseconds holdSpread { 20'000 };
    // A trial without a result after this time counts as ended.
    static constexpr Milliseconds maxTrialTime { 10'000 };
    // How long a record counts.
    static constexpr Milliseconds recordLifetime { 1'800'000 };
    // Maximum number of suspect requests; the one whose last crash is oldest is removed first.
    static constexpr std::size_t maxSuspects = 2000;
    static constexpr std::size_t maxWithdrawals = 4096;
    static constexpr std::size_t maxRecordsPerSuspect = 16;
    // Further records that are stored, and so shared, if they end a trial. Without them no VM learned of failed trials
    // once other losses had used up maxRecordsPerSuspect, and each VM repeated the trial every 10 to 30 s.
    static constexpr std::size_t maxTrialRecordsPerSuspect = 16;

private:
    struct Entry {
        CrashRecord record;
        Milliseconds at { 0 };
        bool isShared { false };
        bool isOwn { false };
    };
    struct Suspect {
        // By endpoint.
        std::map<std::string, Entry> entries;
        Milliseconds lastAt { 0 };
        // 0 if it has never been held.
        Milliseconds heldUntil { 0 };
        Milliseconds trialUntil { 0 };
        bool hasFailedTrial { false };
    };

    // The records that count: one of each group of concurrent losses.
    static std::vector<const CrashRecord*> countedRecords(const Suspect&);
    static double scoreOf(const Suspect&);
    // Makes room for a record if one does not count.
    static void removeUncounted(Suspect&);
    void hold(Suspect&) const;
    void endTrialHold(Suspect&) const;
    void removeOldestIfFull();
    void noteCleared(const std::string& digest, Milliseconds at);

    const Milliseconds m_firstHold;
    std::unordered_map<std::string, Suspect> m_suspects;
    // When endpoints whose records were withdrawn were alive, by digest and endpoint.
    std::map<std::pair<std::string, std::string>, Milliseconds> m_withdrawnAt;
    // When suspect requests were last cleared, by digest.
    std::unordered_map<std::string, Milliseconds> m_clearedAt;
};

} // namespace lupinknot::internal
