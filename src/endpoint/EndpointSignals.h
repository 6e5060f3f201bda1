// Signals that one incarnation of an endpoint (one run of its process) has sent to this VM: back-off and shutdown.
// Decides whether the VM may send requests to the incarnation.
//
// An endpoint that rejects a request may request a back-off from this VM with Retry-After; other VMs may continue to
// send requests. An endpoint that is about to shut down announces this in its answers; the announcement holds for all
// VMs and is final for the incarnation.
//
//     signals.noteBackOff(time, now);
//     if (signals.accepts(now)) ...               // If false: not before backOffUntil(), or never after a shutdown.
//
// A plain value without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

class EndpointSignals {
public:
    // Records a back-off of length `time` requested by an answer received now. Returns true if a back-off begins or is
    // extended.
    bool noteBackOff(Milliseconds time, Milliseconds now);
    // Records that the incarnation is shutting down. Returns true the first time.
    bool noteShuttingDown();
    // Adds what was recorded earlier about the same incarnation.
    void merge(const EndpointSignals&);

    Milliseconds backOffUntil() const { return m_backOffUntil; }
    bool isInBackOff(Milliseconds now) const { return now < m_backOffUntil; }
    bool isShuttingDown() const { return m_isShuttingDown; }
    bool accepts(Milliseconds now) const { return !m_isShuttingDown && !isInBackOff(now); }

private:
    Milliseconds m_backOffUntil { 0 };
    bool m_isShuttingDown { false };
};

} // namespace lupinknot::internal
