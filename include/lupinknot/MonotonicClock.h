// The clock of a running process: the system's clock since boot, which changes of the time of day do not affect.
//
// It also counts the time for which the machine was suspended, because everything that the process knew before has aged
// by that time: keep-alive connections, copies, updates from the platform store.
#pragma once

#include "lupinknot/Clock.h"
#include <ctime>

namespace lupinknot {

// Thread-safe; holds no state.
class MonotonicClock final : public Clock {
public:
    Milliseconds now() const override
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::duration_cast<Milliseconds>(
            std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec });
    }
};

} // namespace lupinknot
