// Bounds the number and total size of the requests that wait in this VM.
//
// Load pattern: a surge of callers while nothing can be served. Each waiting request holds a connection and its body; a
// VM has about 160 MB for everything. Where the configuration names ranks, the least urgent waiting request is refused
// when a more urgent one arrives and the set is full.
//
//     const auto place = limit.enter({ bytes, rank, admittedAt }, now, [this] { refuse(); });
//     if (place) ...                                          // Call limit.leave(*place) when the wait ends.
//
// Not thread-safe.
#pragma once

#include "admission/RequestRank.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace lupinknot::internal {

struct WaitingRequest {
    std::size_t bytes { 0 };
    RankedWait urgency {};
};

class WaitingRequestLimit {
public:
    // A small VM serves a few hundred requests a second, and none waits longer than two seconds on usual routes.
    static constexpr std::size_t maxRequests = 256;
    // A tenth of the memory of a small VM, 160 MB.
    static constexpr std::size_t maxBytes = 16U << 20U;
    // A request of rank 9 is as urgent as any other after 1.8 s, within the longest usual wait.
    static constexpr Milliseconds defaultAgeingTime { 200 };

    using Place = std::uint64_t;
    // Called when a more urgent request has taken the place; leave() is not needed then.
    using OnDisplaced = std::function<void()>;

    // Changes the time after which a waiting request moves up by one rank.
    void setAgeingTime(Milliseconds time) { m_ageingTime = time; }
    // Returns nothing if a bound would be exceeded and no less urgent request makes enough room. At most one request is
    // displaced.
    std::optional<Place> enter(const WaitingRequest&, Milliseconds now, OnDisplaced);
    // Ignores places that are no longer held.
    void leave(Place);
    std::size_t count() const { return m_held.size(); }

private:
    struct Held {
        WaitingRequest request;
        OnDisplaced onDisplaced;
    };
    using HeldRequests = std::map<Place, Held>;

    bool fits(std::size_t bytes, std::size_t heldCount, std::size_t heldBytes) const;
    // The least urgent request that the newcomer may displace; among equals the one that has waited least.
    HeldRequests::iterator findDisplaceable(const RankedWait& newcomer, Milliseconds now);

    HeldRequests m_held;
    std::size_t m_bytes { 0 };
    Place m_nextPlace { 1 };
    Milliseconds m_ageingTime { defaultAgeingTime };
};

} // namespace lupinknot::internal
