// The clock of a running process: the system's monotonic clock, which changes of the wall clock do not touch.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot {

// Thread-safe; holds no state.
class MonotonicClock final : public Clock {
public:
    Milliseconds now() const override
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
    }
};

} // namespace lupinknot
