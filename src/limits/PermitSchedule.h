// Says when an endpoint under a limit may get its next request, for the one VM that counts for all.
//
// Load pattern: an endpoint in need takes from a fifth of a request to some hundred a second from all VMs together, and
// many VMs have requests for it at the same instant, or one of them has nearly all. So requests are spaced: each one
// gets the next free place, now or a little later, and nothing is saved up while none comes, because what was saved
// would arrive together.
//
//     PermitSchedule schedule(now);
//     schedule.setRate(perSecond, now);
//     if (schedule.waitFor(now) <= patience) schedule.take(now);
//
// A plain value without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

class PermitSchedule {
public:
    explicit PermitSchedule(Milliseconds now)
        : m_nextAt(static_cast<double>(now.count()))
    {
    }

    // A place that was far off under a slower rate comes nearer under a faster one.
    void setRate(double perSecond, Milliseconds now);
    // How long a request that comes now has to wait for its place.
    Milliseconds waitFor(Milliseconds now) const;
    // Takes that place.
    void take(Milliseconds now);
    // The time between two places.
    Milliseconds interval() const { return Milliseconds { static_cast<std::int64_t>(m_interval) }; }

    // An endpoint that takes nothing until it says otherwise is asked this often: only its answers tell of the change.
    static constexpr double slowestRate = 0.1;
    // Requests that come together within this time are let through together, so that a place is not lost because a
    // request comes a little before it. It adds a fifth of a second's requests to the busiest seconds.
    static constexpr Milliseconds tolerance { 200 };

private:
    double m_interval { 1000 };
    // When the place after the last one that was taken begins, in milliseconds with their fraction.
    double m_nextAt;
};

} // namespace lupinknot::internal
