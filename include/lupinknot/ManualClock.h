// A clock that advances only on request, for tests and simulations.
#pragma once

#include "lupinknot/Clock.h"
#include <atomic>

namespace lupinknot {

// Thread-safe: the instant is one atomic value.
class ManualClock final : public Clock {
public:
    Milliseconds now() const override { return Milliseconds { m_now.load() }; }
    void advance(Milliseconds step) { m_now += step.count(); }

private:
    std::atomic<std::int64_t> m_now { 0 };
};

} // namespace lupinknot
