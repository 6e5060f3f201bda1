// Decides whether an organisation uses more than its share of a service.
//
// Load pattern: the engines lack room, and a few large organisations send most of the prompts of a rank. Without shares
// the small ones wait behind the prompts of the large ones.
//
// Work is counted in tokens of prompts and answers, for each service, rank and organisation, and decays by half every
// few seconds. The counts of the whole zone replace this VM's own ones where they are known (relay/ShareExchange).
//
//     shares.note({ "llm", 2, "acme" }, 8000, now);
//     if (shares.isAboveShare({ "llm", 2, "acme" }, now)) ... // One engine priority less urgent.
//
// Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

// A number that decays by half in each half-life.
class DecayedCount {
public:
    static constexpr Milliseconds halfLife { 4000 };

    double at(Milliseconds now) const;
    void add(double amount, Milliseconds now) { set(at(now) + amount, now); }
    void set(double value, Milliseconds now);

private:
    double m_value { 0 };
    Milliseconds m_setAt { 0 };
};

struct ShareKey {
    std::string service;
    unsigned rank { 0 };
    std::string organisation;

    auto operator<=>(const ShareKey&) const = default;
};

struct ShareCount {
    ShareKey key;
    double tokens { 0 };
};

class OrganisationShares {
public:
    // The least active organisation is evicted first.
    static constexpr std::size_t maxOrganisations = 4096;
    // An organisation with less work, one step of a prefill, does not lower the fair share of the others.
    static constexpr double minActiveTokens = 200;
    // A multiple of the fair share, so that organisations near it do not change priority with each prompt.
    static constexpr double toleratedShare = 2;

    // Adds work that this VM has sent.
    void note(const ShareKey&, double tokens, Milliseconds now);
    // Sets the work that all VMs of the zone have sent.
    void setZoneCount(const ShareKey&, double tokens, Milliseconds now);
    // True if the organisation uses more than twice its fair share: the work of the service and rank divided by the
    // number of active organisations.
    bool isAboveShare(const ShareKey&, Milliseconds now, double tolerated = toleratedShare) const;
    // This VM's own counts.
    std::vector<ShareCount> ownCounts(Milliseconds now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        DecayedCount own;
        DecayedCount zone;

        // The zone's count lacks what this VM has sent since.
        double work(Milliseconds now) const;
    };

    Entry& entryFor(const ShareKey&, Milliseconds now);

    std::map<ShareKey, Entry> m_entries;
};

} // namespace lupinknot::internal
