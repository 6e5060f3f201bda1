// Decides whether a stream that lacks a retry waits for one or ends.
//
// Load pattern: engines are silent for a second, reject the runs that are sent on to them, or fail one after the other.
// A VM needs several retries for each of its streams within a few hundred milliseconds and has none left for the next
// ones. The budget is a sliding window, so that retries return one by one, while the callers of these streams wait for
// many seconds more.
//
//     const auto retryAt = earliestRetry(prospects);
//     if (retryAt && mayWaitForRetry(*retryAt, timeToFinish, deadline)) ...
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

// When a retry returns to a VM's part of the budget if no other request takes it; empty if the part is too small.
struct RetryProspects {
    // For the purpose of the stream's next run.
    std::optional<Milliseconds> forPurpose;
    // For a stream that may use the whole part.
    std::optional<Milliseconds> ofWholePart;
    // From when on the stream may use the whole part.
    Milliseconds wholePartFrom { 0 };
};

std::optional<Milliseconds> earliestRetry(const RetryProspects&);

// False if the stream cannot be completed by its deadline with a retry that returns at this time.
bool mayWaitForRetry(Milliseconds retryAt, Milliseconds timeToFinish, Milliseconds deadline);

} // namespace lupinknot::internal
