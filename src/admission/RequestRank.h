// The rank of a request, and what follows from it: the priority that engines get, the order of waiting requests, and
// the pauses of waiting requests and refused callers.
//
// Load patterns:
// - Demand exceeds the engines for some seconds. Answers that can still be in time come first, by rank; late ones get
//   the engine time that is left.
// - A surge fills the set of waiting requests with requests of a low rank before urgent ones arrive.
// - Callers that are refused together retry after the same time, and are refused together again.
//
//     const auto rank = effectiveRank(organisationRank, routeRank);
//     if (rank.isNamed) fields.priority = enginePriority(rank.value, { isLate, isAboveShare });
//     if (isMoreUrgent(newcomer, waiting, now, ageingTime)) ...
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

// Ranks and engine priorities: 0 is the most urgent.
inline constexpr unsigned leastUrgentRank = 9;
// What engines assume for a request without a priority.
inline constexpr unsigned defaultRequestRank = 5;

struct RequestRank {
    unsigned value { defaultRequestRank };
    // True if the configuration names the rank. Requests without a named rank are served as if there were no ranks.
    bool isNamed { false };
};

// The rank of an organisation overrides that of a route.
RequestRank effectiveRank(std::optional<unsigned> organisationRank, std::optional<unsigned> routeRank);

struct AnswerStanding {
    // The answer is late already or certain to be late.
    bool isLate { false };
    // The organisation uses more than twice its fair share of a service that lacks room.
    bool isAboveShare { false };
};

// The priority for engines: answers that can be in time get their rank, at most 7, and one level less urgent above the
// organisation's share. Late answers get 8, or 9 for ranks above 4, so that they yield to all that can be in time.
unsigned enginePriority(unsigned rank, const AnswerStanding&);

// The rank after a wait: one level more urgent for each ageing time, so that no rank waits forever.
RequestRank agedRank(const RequestRank&, Milliseconds waited, Milliseconds ageingTime);

// A request in the set of waiting requests.
struct RankedWait {
    RequestRank rank;
    Milliseconds since { 0 };
};

// True if the first request may take the place of the second one. Requests without named ranks never displace each
// other.
bool isMoreUrgent(const RankedWait& newcomer, const RankedWait& waiting, Milliseconds now, Milliseconds ageingTime);

// Factor of pauses and retry delays: 0.5 for rank 0, 1.4 for rank 9, 1 for requests without a named rank.
double delayFactor(const RequestRank&);
// A delay for this rank. For a named rank it is spread by a quarter in both directions; `spread` is a random number
// from 0 to 1.
Milliseconds rankedDelay(const RequestRank&, Milliseconds delay, double spread);

} // namespace lupinknot::internal
