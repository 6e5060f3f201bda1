// In-memory cache of run locations: those of this VM's runs and those that other VMs have sent.
//
//     cache.put("91bd3f06", location, now);
//     if (const auto* location = cache.find("91bd3f06", now)) ...
//
// Bounded in time and size: entries expire after the longest time that a stream can last, and the oldest ones are
// evicted when the cache is full. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/RunLocations.h"
#include <deque>
#include <unordered_map>

namespace lupinknot::internal {

class RunLocationCache {
public:
    RunLocationCache(Milliseconds lifetime, std::size_t capacity);

    // Replaces the stream's previous location.
    void put(const std::string& runKey, RunLocation, Milliseconds now);
    void remove(const std::string& runKey);
    // Returns null when there is no unexpired entry. The pointer is valid until the next change of the cache.
    const RunLocation* find(const std::string& runKey, Milliseconds now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        RunLocation location;
        Milliseconds storedAt;
    };
    struct Insertion {
        std::string runKey;
        Milliseconds storedAt;
    };

    bool isExpired(Milliseconds storedAt, Milliseconds now) const { return now - storedAt > m_lifetime; }
    void evictOld(Milliseconds now);

    const Milliseconds m_lifetime;
    const std::size_t m_capacity;
    std::unordered_map<std::string, Entry> m_entries;
    // In insertion order. Replaced or removed entries leave their earlier element here.
    std::deque<Insertion> m_insertions;
};

} // namespace lupinknot::internal
