// What one start of an endpoint has told this VM about itself, and whether the VM may send to it.
//
// An endpoint that rejects a request may ask this VM for a rest (Retry-After); other VMs may go on sending. An endpoint
// that is about to end says so in its answers; that holds for all VMs and is final for the start.
//
//     signals.noteBackOff(time, now);
//     if (signals.accepts(now)) ...               // Else not before signals.backOffUntil(), or never if it leaves.
//
// A plain value without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

class EndpointSignals {
public:
    // Takes over a rest that an answer asked for which came now. Returns true when a rest begins or lasts longer.
    bool noteBackOff(Milliseconds time, Milliseconds now);
    // Returns true the first time.
    bool noteLeaving();
    // Takes over what was known of the same start before.
    void merge(const EndpointSignals&);

    Milliseconds backOffUntil() const { return m_backOffUntil; }
    bool isInBackOff(Milliseconds now) const { return now < m_backOffUntil; }
    bool isLeaving() const { return m_isLeaving; }
    bool accepts(Milliseconds now) const { return !m_isLeaving && !isInBackOff(now); }

private:
    Milliseconds m_backOffUntil { 0 };
    bool m_isLeaving { false };
};

} // namespace lupinknot::internal
