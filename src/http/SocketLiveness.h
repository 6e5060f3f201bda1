// How long a TCP connection stays open after its peer has disappeared without closing it.
//
// On Linux a TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their count: a connection with
// unanswered probes is dropped at the first probe after that time. Without it, keep-alive does not apply while sent
// bytes are unacknowledged, and the kernel retransmits them for many minutes. Both are therefore set, to the same time.
#pragma once

#include "lupinknot/Clock.h"
#include <boost/asio/ip/tcp.hpp>

namespace lupinknot::internal {

struct SocketLiveness {
    // Idle time before the first keep-alive probe, and time between probes. Whole seconds.
    Milliseconds idle { 1000 };
    Milliseconds interval { 1000 };
    int probes { 2 };

    // Time until a connection without any sign of life from its peer is dropped, whether it is idle or has sent bytes.
    Milliseconds dropAfter() const { return idle + probes * interval; }
};

// Options that the system does not support are skipped; the callers' own timeouts still apply.
void applyLiveness(boost::asio::ip::tcp::socket&, const SocketLiveness&);
// Drops the connection once sent bytes have been unacknowledged for this time. A peer whose process stands still
// acknowledges them until its buffers are full. Keep-alive gives up after one unanswered probe from then on.
void limitUnacknowledgedTime(boost::asio::ip::tcp::socket&, Milliseconds);

} // namespace lupinknot::internal
