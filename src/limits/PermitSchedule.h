// Spaces the requests to one rate-limited endpoint; used by its limit keeper.
//
// Load pattern: an overloaded endpoint accepts between 0.2 and a few hundred requests a second from all VMs together,
// and many VMs have requests for it at the same instant, or one VM has nearly all of them. Each request therefore gets
// the next free slot, now or a little later. Hardly any unused slots are saved up, because the requests for them would
// arrive together.
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

    // Sets the rate, which must be above 0. A faster rate brings the next slot nearer in proportion.
    void setRate(double perSecond, Milliseconds now);
    // Time until the next free slot for a request that arrives now.
    Milliseconds waitFor(Milliseconds now) const;
    // Takes the next free slot.
    void take(Milliseconds now);
    // Delays the next slot by a share of the interval.
    void delay(double share) { m_nextAt += share * m_interval; }
    // Time between two slots.
    Milliseconds interval() const { return Milliseconds { static_cast<std::int64_t>(m_interval) }; }

    // Rate in requests a second for an endpoint that accepts nothing: only its answers show when that changes.
    static constexpr double minRate = 0.1;
    // An unused slot stays available for this long, because the repeated request of a VM for it arrives a little later.
    // The busiest seconds may contain the permits of this much additional time.
    static constexpr Milliseconds unusedSlotLifetime { 400 };

private:
    double m_interval { 1000 };
    // Start of the next slot, in milliseconds with a fraction.
    double m_nextAt;
};

} // namespace lupinknot::internal
