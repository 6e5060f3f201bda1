#include "daemon/EndpointState.h"

#include <algorithm>

namespace lupinknot::internal {

EndpointState::EndpointState(
    EndpointSettings settings, const LivenessSettings& liveness, const EjectionSettings& ejection)
    : m_settings(std::move(settings))
    , m_ejection(ejection)
    , m_liveness(std::make_shared<EndpointLiveness>(liveness))
    , m_nextEjection(ejection.initial)
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
    m_isProbed = false;
    if (!failure) {
        m_nextEjection = m_ejection.initial;
        return;
    }
    // The streams of one dead endpoint fail together; only the first failure of a time of ejection counts.
    if (!traitsOf(*failure).blamesEndpoint || now < m_ejectedUntil)
        return;
    m_ejectedUntil = now + m_nextEjection;
    m_nextEjection = std::min(2 * m_nextEjection, m_ejection.longest);
}

void EndpointState::noteAlive()
{
    const std::lock_guard lock(m_mutex);
    m_isProbed = false;
    m_ejectedUntil = Milliseconds::zero();
}

bool EndpointState::takeProbe(Milliseconds now)
{
    const std::lock_guard lock(m_mutex);
    if (m_listing != EndpointListing::Live || m_isProbed || now >= m_ejectedUntil)
        return false;
    m_isProbed = true;
    return true;
}

bool EndpointState::isEligible(Milliseconds now) const
{
    return m_listing == EndpointListing::Live && ejectedFor(now) <= Milliseconds::zero();
}

Milliseconds EndpointState::ejectedFor(Milliseconds now) const
{
    const std::lock_guard lock(m_mutex);
    return m_ejectedUntil - now;
}

} // namespace lupinknot::internal
