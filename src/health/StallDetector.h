// Detects that this VM's event loop stood still: the process was stopped, or got no processor time.
//
// Load pattern: a VM is frozen for seconds, or a busy host gives it no processor time for some hundred milliseconds.
// When it runs again, all its timers have expired although the answers of its endpoints wait in the sockets. Silence of
// others counts only from the end of the stall.
//
//     detector.noteTick(now);                                            // Every StallDetector::interval.
//     const auto silence = now - std::max(lastSign, detector.lastStallEnd(now));
//
// Without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <optional>

namespace lupinknot::internal {

class StallDetector {
public:
    // How often noteTick() is to be called.
    static constexpr Milliseconds interval { 50 };
    // A tick that is later than this shows a stall. It is shorter than the silence after which an endpoint is probed.
    static constexpr Milliseconds maxLateness { 60 };

    // Returns how long the loop stood still if a stall ends with this tick.
    std::optional<Milliseconds> noteTick(Milliseconds now);
    // When the last stall ended: now if the loop stood still until now, and 0 if there was none.
    Milliseconds lastStallEnd(Milliseconds now) const { return lateness(now) > maxLateness ? now : m_lastStallEnd; }

private:
    Milliseconds lateness(Milliseconds now) const
    {
        return m_lastTick ? now - *m_lastTick - interval : Milliseconds {};
    }

    std::optional<Milliseconds> m_lastTick;
    Milliseconds m_lastStallEnd { 0 };
};

} // namespace lupinknot::internal
