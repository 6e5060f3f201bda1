// The requests that have been served lately, by their digests.
//
// Load pattern: many callers ask for the same at once, and engines crash around them. A request that endpoints have
// just served does not end each endpoint that begins it, however many it has lost. Used on the relay's thread only.
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

    // Longer than a request takes, shorter than it takes until a new version of the endpoints' software is everywhere.
    static constexpr Milliseconds keptFor { 30'000 };
    // A VM serves some tens of requests a second; beyond these the oldest are forgotten.
    static constexpr std::size_t mostKept = 4000;

private:
    struct Served {
        std::string digest;
        Milliseconds at;
    };

    // Oldest first; a digest that was served again stands here more than once.
    std::deque<Served> m_order;
    std::unordered_map<std::string, Milliseconds> m_servedAt;
};

} // namespace lupinknot::internal
