// Estimates how long ago a caller made its first attempt, from the timeouts that callers of a route state.
//
// Load pattern: callers that are refused retry with the time that they have left. Requests do not say whether they are
// a retry; a stated timeout below the longest one shows it, unless several callers state the same shorter timeout,
// which is then a setting of theirs.
//
//     const auto sinceFirstAttempt = estimate.add(callerTimeout);
//
// Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <array>
#include <cstddef>

namespace lupinknot::internal {

class FirstAttemptEstimate {
public:
    // Records the timeout of one attempt and returns the time since its caller's first attempt: zero when unknown.
    Milliseconds add(Milliseconds callerTimeout);

private:
    std::size_t countNear(Milliseconds timeout, Milliseconds tolerance) const;

    static constexpr std::size_t maxSamples = 32;
    std::array<Milliseconds, maxSamples> m_samples {};
    std::size_t m_count { 0 };
    std::size_t m_next { 0 };
};

} // namespace lupinknot::internal
