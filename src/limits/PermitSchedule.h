// Says when an endpoint under a limit may get its next request, for the one VM that counts for all.
//
// Load pattern: an endpoint in need takes from a fifth of a request to some hundred a second from all VMs together, and
// many VMs have requests for it at the same instant, or one of them has nearly all. So requests are spaced: each one
// gets the next free place, now or a little later, and next to nothing is saved up while none comes, because what was
// saved would arrive together.
//
//     PermitSchedule schedule(now);
//     schedule.setRate(perSecond, now);
//     if (schedule.waitFor(now) <= permitTimeout) schedule.take(now);
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

    // A rate above 0. A place that was far off under a slower rate comes nearer under a faster one.
    void setRate(double perSecond, Milliseconds now);
    // How long a request that comes now has to wait for its place.
    Milliseconds waitFor(Milliseconds now) const;
    // Takes that place.
    void take(Milliseconds now);
    // Puts the next place off by a share of the time between two.
    void delay(double share) { m_nextAt += share * m_interval; }
    // The time between two places.
    Milliseconds interval() const { return Milliseconds { static_cast<std::int64_t>(m_interval) }; }

    // An endpoint that takes nothing until it says otherwise is asked this often: only its answers tell of the change.
    static constexpr double slowestRate = 0.1;
    // A place that no request took is kept for so long: who is told to come back for it comes a little later. It adds
    // as much of the limit to the busiest seconds.
    static constexpr Milliseconds placesKeptFor { 400 };

private:
    double m_interval { 1000 };
    // When the place after the last one that was taken begins, in milliseconds with their fraction.
    double m_nextAt;
};

} // namespace lupinknot::internal
