// Keeps the requests that a brittle endpoint turns away within what it tolerates.
//
// Load pattern: an overloaded endpoint states in its answers how many requests it may turn away in a second, from all
// VMs together (a few), and fails if there are more. It states nothing about its free capacity. Many VMs have requests
// for it at the same time, and each of them finds out that it is full only by a rejection.
//
// The VMs divide the endpoint's slots between them, so that the requests within these quotas find room. Any further
// request needs a permit, because it may be turned away; the limit keepers (PermitSource) issue a share of the
// tolerated rejections as permits to all VMs. After a rejection all requests of the VM need one, for a hold time in
// which each VM causes at most one rejection that no permit covers, and until a request is accepted afterwards.
//
//     limit.noteAnswer({ tolerated, isRejected, sentAt }, vmCount, now);
//     if (limit.needsPermit(inFlight, RejectionLimit::quota(slots, vmCount, position))) ... limit.permitsPerSecond()
//
// A plain value without input or output; it belongs to one endpoint incarnation. Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <cstddef>
#include <optional>

namespace lupinknot::internal {

// What an answer shows about rejections.
struct RejectionStatement {
    // Requests that the endpoint may turn away in a second; empty if it states none.
    std::optional<double> tolerated;
    // True if the endpoint turned this request away because it is full.
    bool isRejected { false };
    // When the request was sent.
    Milliseconds sentAt { 0 };
};

class RejectionLimit {
public:
    // The share of the tolerated rejections that permits cover.
    static constexpr double permittedShare = 0.4;
    // The share for rejections without a permit, one by each VM within the hold time.
    static constexpr double unpermittedShare = 0.4;
    static constexpr Milliseconds minHold { 1000 };

    // Returns true if the endpoint has become brittle or is no longer brittle.
    bool noteAnswer(const RejectionStatement&, std::size_t vmCount, Milliseconds now);
    bool isBrittle() const { return m_tolerated.has_value(); }
    const std::optional<double>& tolerated() const { return m_tolerated; }
    bool needsPermit(unsigned inFlight, unsigned quota) const
    {
        return isBrittle() && (m_rejectedAt || inFlight >= quota);
    }
    // The permits that all VMs together may use, a second.
    double permitsPerSecond() const { return permittedShare * m_tolerated.value_or(0); }
    // The requests that a VM may have in progress at a brittle endpoint without a permit: its part of the slots.
    // Fractions are rounded by the position from 0 to 1, which differs between VMs and endpoints.
    static unsigned quota(unsigned slots, std::size_t vmCount, double position);

private:
    std::optional<double> m_tolerated;
    // The last rejection, until a request is accepted after the hold time.
    std::optional<Milliseconds> m_rejectedAt;
    Milliseconds m_heldUntil { 0 };
};

} // namespace lupinknot::internal
