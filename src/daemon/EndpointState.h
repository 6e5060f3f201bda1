// What this VM knows of one endpoint.
#pragma once

#include "lupinknot/EndpointLiveness.h"
#include "lupinknot/FailureKind.h"
#include "settings/DaemonSettings.h"
#include <atomic>
#include <mutex>

namespace lupinknot::internal {

// What the platform's list says. The list lags, so it decides about leaving only; whether an endpoint can be reached
// shows in the calls to it.
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

// Thread-safe: counters are atomic, the ejection has a lock of its own.
class EndpointState {
public:
    EndpointState(EndpointSettings, const LivenessSettings&, const EjectionSettings&);

    const EndpointSettings& settings() const { return m_settings; }
    const std::shared_ptr<EndpointLiveness>& liveness() const { return m_liveness; }
    bool servesModel(const std::string& model) const;

    void workStarted() { ++m_inFlight; }
    void workEnded(std::optional<FailureKind>, Milliseconds now);
    int inFlight() const { return m_inFlight; }

    // The endpoint has answered: an ejection ends.
    void noteAlive();

    // True when the endpoint may get new work: it is not leaving and not ejected.
    bool isEligible(Milliseconds now) const;
    // Takes the one request that an ejected endpoint may get before its time, to see whether it is back. Returns false
    // when such a request is under way, or the endpoint is leaving. The caller must start the work.
    bool takeProbe(Milliseconds now);
    // How long the endpoint is still ejected; zero or less when it is not.
    Milliseconds ejectedFor(Milliseconds now) const;

    EndpointListing listing() const { return m_listing; }
    void setListing(EndpointListing listing) { m_listing = listing; }

private:
    const EndpointSettings m_settings;
    const EjectionSettings m_ejection;
    const std::shared_ptr<EndpointLiveness> m_liveness;
    std::atomic<int> m_inFlight { 0 };
    std::atomic<EndpointListing> m_listing { EndpointListing::Live };
    mutable std::mutex m_mutex;
    // All under the lock.
    Milliseconds m_ejectedUntil { 0 };
    Milliseconds m_nextEjection;
    bool m_isProbed { false };
};

} // namespace lupinknot::internal
