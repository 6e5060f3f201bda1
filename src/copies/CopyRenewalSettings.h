// Times and shares of the copies that are ordered for running runs (docs/design/copies.md).
#pragma once

#include "lupinknot/Clock.h"

namespace lupinknot::internal {

struct CopyRenewalSettings {
    // A run that is expected to end sooner than this gets no new copy: its engine rarely fails in the time left, and a
    // copy takes up to 0.25 s of two network links.
    Milliseconds minTimeLeftForCopy { 1500 };
    // Interval at which an ordered copy is refreshed, as a share of the time for which its holder keeps it.
    // Below one half, so that a copy outlives one failed refresh.
    double copyRefreshInterval { 0.4 };
    // Shortest time between two orders for one run after an engine rejected one or did not answer. It doubles with each
    // further failure, up to eight times this value.
    Milliseconds copyRetryInterval { 200 };
    // The orders of runs that lose their copies together are spread over this time, because copies queue on the
    // engines' network links.
    Milliseconds copyOrderSpread { 200 };
    // A run with this much time left or more is among the first to be copied; shorter ones follow.
    Milliseconds longTimeLeft { 8000 };
    // Timeout of an order. A copy of 8,000 tokens takes 0.1 to 0.25 s, queued behind others on the same links.
    Milliseconds copyOrderTimeout { 1000 };
    // How long the answer to an order is awaited after it has timed out or is not needed any more. An engine that is
    // only silent makes the copy later, and without its handle the copy could not be used or freed.
    Milliseconds lateOrderTimeout { 4000 };
    // Timeout for the deletion of a handle: longer than engines are silent, because a request is lost when its
    // connection is closed before the engine has read it. A handle that is not deleted expires.
    Milliseconds handleReleaseTimeout { 4000 };
};

} // namespace lupinknot::internal
