// Estimates the time of day on a VM whose clock may jump by seconds and back.
//
// Keeps samples of the offset between the time of day and a monotonic clock and uses their median: a jump has to last
// for half of the sampled time before the estimate follows it.
//
//     estimate.addSample(timeOfDay, now);         // Periodically, and once before the first at().
//     const auto timeOfDay = estimate.at(now);
//
// Times of day are milliseconds since the start of 1970, UTC. Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>

namespace lupinknot::internal {

class TimeOfDayEstimate {
public:
    void addSample(Milliseconds timeOfDay, Milliseconds now);
    // The time of day at a monotonic instant; the instant itself before the first sample.
    Milliseconds at(Milliseconds instant) const { return instant + m_offset; }

private:
    // From the oldest to the newest.
    std::deque<Milliseconds> m_offsets;
    Milliseconds m_offset { 0 };
};

} // namespace lupinknot::internal
