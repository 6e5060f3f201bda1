#include "daemon/EndpointState.h"

#include <algorithm>

namespace lupinknot::internal {

EndpointState::EndpointState(
    EndpointSettings settings, const LivenessSettings& liveness, const EjectionSettings& ejection)
    : m_settings(std::move(settings))
    , m_ejection(ejection)
    , m_liveness(std::make_shared<EndpointLiveness>(liveness))
    , m_nextEjectionDuration(ejection.initial)
{
}

bool EndpointState::servesModel(const std::string& model) const
{
    return std::find(m_settings.models.begin(), m_settings.models.end(), model) != m_settings.models.end();
}

void EndpointState::workEnded(std::optional<FailureKind> failure, Milliseconds now)
{
    --m_inFlight;
    const std::lock_guard lock(m_mutex);
    m_isProbeInProgress = false;
    if (!failure) {
        m_nextEjectionDuration = m_ejection.initial;
        return;
    }
    // All streams of a dead endpoint fail together, so only the first failure within an ejection counts.
    if (!traitsOf(*failure).blamesEndpoint || now < m_ejectedUntil)
        return;
    m_ejectedUntil = now + m_nextEjectionDuration;
    m_nextEjectionDuration = std::min(2 * m_nextEjectionDuration, m_ejection.longest);
}

void EndpointState::noteAlive()
{
    const std::lock_guard lock(m_mutex);
    m_isProbeInProgress = false;
    m_ejectedUntil = Milliseconds::zero();
}

bool EndpointState::reserveProbe(Milliseconds now)
{
    const std::lock_guard lock(m_mutex);
    if (m_listing != EndpointListing::Live || m_isProbeInProgress || now >= m_ejectedUntil)
        return false;
    m_isProbeInProgress = true;
    return true;
}

bool EndpointState::isEligible(Milliseconds now) const
{
    return m_listing == EndpointListing::Live && ejectionTimeLeft(now) <= Milliseconds::zero();
}

Milliseconds EndpointState::ejectionTimeLeft(Milliseconds now) const
{
    const std::lock_guard lock(m_mutex);
    return m_ejectedUntil - now;
}

} // namespace lupinknot::internal
