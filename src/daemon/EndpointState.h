// What this VM knows about one endpoint: its listing, its requests in flight and its ejection.
#pragma once

#include "lupinknot/EndpointLiveness.h"
#include "lupinknot/FailureKind.h"
#include "settings/DaemonSettings.h"
#include <atomic>
#include <mutex>

namespace lupinknot::internal {

// The state of an endpoint in the platform's list. The list is delayed, so it only decides whether an endpoint is
// shutting down; the calls to an endpoint show whether it can be reached.
enum class EndpointListing {
    Live,
    Leaving,
    Gone,
};

inline constexpr std::array<EnumName<EndpointListing>, 3> endpointListingNames { {
    { EndpointListing::Live, "live" },
    { EndpointListing::Leaving, "leaving" },
    { EndpointListing::Gone, "gone" },
} };

// Thread-safe: the counters are atomic, and the ejection has its own lock.
class EndpointState {
public:
    EndpointState(EndpointSettings, const LivenessSettings&, const EjectionSettings&);

    const EndpointSettings& settings() const { return m_settings; }
    const std::shared_ptr<EndpointLiveness>& liveness() const { return m_liveness; }
    bool servesModel(const std::string& model) const;

    void workStarted() { ++m_inFlight; }
    void workEnded(std::optional<FailureKind>, Milliseconds now);
    int inFlight() const { return m_inFlight; }

    // Records that the endpoint has answered, which ends an ejection.
    void noteAlive();

    // True when the endpoint may get new work: it is neither shutting down nor ejected.
    bool isEligible(Milliseconds now) const;
    // Reserves the probe, the one request that an ejected endpoint may get before its ejection ends, to find out
    // whether it works again. Returns false when a probe is in progress, the endpoint is shutting down, or it is not
    // ejected. The caller must call workStarted().
    bool reserveProbe(Milliseconds now);
    // Time left of the ejection; zero or less when the endpoint is not ejected.
    Milliseconds ejectionTimeLeft(Milliseconds now) const;

    EndpointListing listing() const { return m_listing; }
    void setListing(EndpointListing listing) { m_listing = listing; }

private:
    const EndpointSettings m_settings;
    const EjectionSettings m_ejection;
    const std::shared_ptr<EndpointLiveness> m_liveness;
    std::atomic<int> m_inFlight { 0 };
    std::atomic<EndpointListing> m_listing { EndpointListing::Live };
    mutable std::mutex m_mutex;
    // The members below are guarded by the lock.
    Milliseconds m_ejectedUntil { 0 };
    Milliseconds m_nextEjectionDuration;
    bool m_isProbeInProgress { false };
};

} // namespace lupinknot::internal
