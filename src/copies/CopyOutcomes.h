// Whether the copies of runs that callers resume are still at their holders.
//
// Load pattern: VMs lose power, and their callers resume seconds later, all within a second. An engine keeps a copy for
// a few seconds after its last update, so that either most of these copies are still there or hardly any.
//
//     outcomes.noteRejected(now);
//     if (!outcomes.areExpected(now)) ...     // Copies have just been rejected in succession.
//
// A value without I/O or synchronization. One for each service.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

class CopyOutcomes {
public:
    void noteUsed() { m_rejectedInSuccession = 0; }
    void noteRejected(Milliseconds now);
    // False for a short time after a rejection, if the copies tried before it were rejected too.
    bool areExpected(Milliseconds now) const;

private:
    unsigned m_rejectedInSuccession { 0 };
    Milliseconds m_rejectedAt { 0 };
};

} // namespace lupinknot::internal
