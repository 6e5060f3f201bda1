// Keeps the digests of recently served requests.
//
// Load pattern: many callers send the same request at once while engines crash. A request that has just been served
// does not crash every endpoint that begins it, however many endpoints were lost under it. Used on the relay's thread
// only.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>
#include <string>
#include <unordered_map>

namespace lupinknot::internal {

class ServedRequests {
public:
    void note(const std::string& digest, Milliseconds now);
    bool has(const std::string& digest, Milliseconds now) const;

    // Longer than a request takes, shorter than the rollout of a new version of the endpoints' software.
    static constexpr Milliseconds entryLifetime { 30'000 };
    // A VM serves some tens of requests a second; beyond this number the oldest are removed.
    static constexpr std::size_t maxEntries = 4000;

private:
    struct Served {
        std::string digest;
        Milliseconds at;
    };

    // Oldest first; a digest that was served again has several entries.
    std::deque<Served> m_order;
    std::unordered_map<std::string, Milliseconds> m_servedAt;
};

} // namespace lupinknot::internal
