// Locations of runs that a VM keeps in memory, its own and those that other VMs have told it.
//
//     cache.put("91bd3f06", location, now);
//     if (const auto* location = cache.find("91bd3f06", now)) ...
//
// Bounded in time and number: a location older than a stream can last is of no use, and the oldest ones give way.
// Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/RunLocations.h"
#include <deque>
#include <unordered_map>

namespace lupinknot::internal {

class RunLocationCache {
public:
    RunLocationCache(Milliseconds lifetime, std::size_t capacity);

    // Takes the place of what was known of the prompt.
    void put(const std::string& promptId, RunLocation, Milliseconds now);
    void remove(const std::string& promptId);
    // Null when nothing is known, or nothing recent. Valid until the next change.
    const RunLocation* find(const std::string& promptId, Milliseconds now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        RunLocation location;
        Milliseconds at;
    };
    struct Age {
        std::string promptId;
        Milliseconds at;
    };

    bool isExpired(Milliseconds at, Milliseconds now) const { return now - at > m_lifetime; }
    void dropOld(Milliseconds now);

    const Milliseconds m_lifetime;
    const std::size_t m_capacity;
    std::unordered_map<std::string, Entry> m_entries;
    // In the order of being put; an entry that was put again or removed leaves its earlier age behind.
    std::deque<Age> m_ages;
};

} // namespace lupinknot::internal
