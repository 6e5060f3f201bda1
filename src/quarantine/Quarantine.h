// Which requests are held back because the endpoints that ran them have ended.
//
//     Quarantine quarantine;
//     quarantine.add(record, now);                    // Seen here, or told by another VM.
//     if (quarantine.isHeld(digest, now)) ...         // Until heldUntil(digest).
//     quarantine.clear(digest);                       // It has been served, or has run for long.
//
// A request is held from the third endpoint on that ended under it (two half suspicions count as one), for a fixed time
// after the last of them. After that time it is let in again; its records are kept for longer, so that one more end is
// enough to hold it. Each start of an endpoint counts once, whoever tells of it; one that ends again and again counts
// half from its second time on, because it may be ailing itself.
//
// No input or output, no clock: instants are parameters. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "quarantine/CrashRecord.h"
#include <map>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class Quarantine {
public:
    // Returns whether it was new. One that has been shared need not be told to other VMs.
    bool add(const CrashRecord&, Milliseconds now, bool isShared);
    // What other VMs should hear of the request now, each record once: all that speaks against it, as soon as that is
    // as much as one full suspicion. Half ones are a quarter of all losses, and nearly all of chance.
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
    // True when the request would be held if as much more spoke against it, at an endpoint that has not yet.
    bool wouldBeHeld(const std::string& digest, double more) const;
    std::size_t suspectCount() const { return m_suspects.size(); }

    // Ends of endpoints, fully suspect, from which a request is held: one may be chance and two bad luck.
    static constexpr double heldFrom = 3;
    static constexpr double sharedFrom = 1;
    // How long a request is held after the last end. A new version of the engines' software takes longer to roll out.
    static constexpr Milliseconds holdTime { 600'000 };
    // How long a record counts.
    static constexpr Milliseconds recordTime { 1'800'000 };
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
    };

    static double scoreOf(const Suspect&);
    void makeRoom();

    std::unordered_map<std::string, Suspect> m_suspects;
};

} // namespace lupinknot::internal
