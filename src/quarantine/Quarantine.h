// Which requests are held back because the endpoints that ran them have ended.
//
//     Quarantine quarantine;
//     quarantine.add(record, now);                    // Seen here, or told by another VM.
//     if (quarantine.isHeld(digest, now)) ...         // Until heldUntil(digest).
//     quarantine.clear(digest);                       // It has been served, or has run for long.
//
// A request is held from the third endpoint on that ended under it; two half suspicions count as one. The first time it
// is held for a short while and let in again as a trial, one at a time: what has ended with a small service may look
// the same, and is cleared by its trial. A trial that ends its endpoint has the request held for long. VMs end a hold
// one after the other, so that the first trial is over before the others begin one. Each start of an endpoint counts
// once, whoever tells of it; one that ends again and again counts half from its second time on, because it may be
// ailing itself.
//
// Runs of one request that were under way side by side and were lost within a correlationWindow count as one: many ask
// for the same, and what took their endpoints away took them together. A request that ends its endpoints loses them one
// by one.
//
// No input or output, no clock: instants are parameters. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "quarantine/CrashRecord.h"
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class Quarantine {
public:
    // The VM's name decides when its holds end among those of the other VMs.
    explicit Quarantine(std::string_view vmName);
    // At is when the endpoint ended. Returns whether it was new. One that has been shared need not be told to other
    // VMs.
    bool add(const CrashRecord&, Milliseconds at, bool isShared);
    // What other VMs should hear of the request now, each record once: all that speaks against it, as soon as that is
    // as much as one full suspicion. Telling each half one too took 260 to 332 calls to the store a day, this 101 to
    // 219 (six VMs, four days with trouble).
    std::vector<CrashRecord> takeUnshared(const std::string& digest);
    // Another VM has taken the record back.
    void remove(const std::string& digest, const std::string& endpointId);
    // Forgets what speaks against the request. Returns the endpoints of which other VMs must hear that they do not
    // count: all shared ones, once one more suspicion would hold the request. Fewer do no harm, and each telling has a
    // price.
    std::vector<std::string> clear(const std::string& digest);
    // Forgets records that are too old.
    void forgetOld(Milliseconds now);

    // True when something speaks against the request.
    bool isSuspect(const std::string& digest) const { return m_suspects.count(digest) > 0; }
    bool isHeld(const std::string& digest, Milliseconds now) const { return now < heldUntil(digest); }
    // 0 for a request that has not been held.
    Milliseconds heldUntil(const std::string& digest) const;
    // Whether a new attempt of the request may go on. After a hold that is the trial; until it is over, or has taken
    // too long, no other attempt may.
    bool admit(const std::string& digest, Milliseconds now);
    // True for one that has been held and not been cleared: its next end is that of a trial.
    bool isOnTrial(const std::string& digest, Milliseconds now) const;
    // True when the request would be held if as much more spoke against it, at an endpoint that has not yet.
    bool wouldBeHeld(const std::string& digest, double more) const;
    // The longest that an endpoint had worked on the request before it ended.
    Milliseconds longestWork(const std::string& digest) const;
    std::size_t suspectCount() const { return m_suspects.size(); }

    // Ends of endpoints, fully suspect, from which a request is held: one may be chance and two bad luck.
    static constexpr double heldFrom = 3;
    static constexpr double sharedFrom = 1;
    // How long a request is held after the last end, at first and after a trial. Engines are back within seconds; a new
    // version of their software takes longer than ten minutes.
    static constexpr Milliseconds firstHold { 10'000 };
    static constexpr Milliseconds longHold { 600'000 };
    // The last VM's first hold is longer by this: a trial is decided within some seconds.
    static constexpr Milliseconds holdSpread { 20'000 };
    // A trial of which nothing has been heard for so long counts as over.
    static constexpr Milliseconds longestTrial { 10'000 };
    // How long a record counts.
    static constexpr Milliseconds recordLifetime { 1'800'000 };
    // Requests that are kept in mind; the one that has been quiet for longest goes first.
    static constexpr std::size_t mostSuspects = 2000;
    static constexpr std::size_t mostRecordsOfOne = 16;

private:
    struct Entry {
        CrashRecord record;
        Milliseconds at { 0 };
        bool isShared { false };
    };
    struct Suspect {
        // By endpoint.
        std::map<std::string, Entry> entries;
        Milliseconds lastAt { 0 };
        // 0 when it has never been held.
        Milliseconds heldUntil { 0 };
        Milliseconds trialUntil { 0 };
        bool hasFailedTrial { false };
    };

    static double scoreOf(const Suspect&);
    void hold(Suspect&) const;
    void makeRoom();

    const Milliseconds m_firstHold;
    std::unordered_map<std::string, Suspect> m_suspects;
};

} // namespace lupinknot::internal
