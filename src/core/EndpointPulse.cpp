#include "lupinknot/EndpointPulse.h"

#include <algorithm>

namespace lupinknot {

EndpointPulse::EndpointPulse(const PulseSettings& settings)
    : m_settings(settings)
    , m_detector(makeSilenceDetector(settings.detector, settings.bounds))
{
}

void EndpointPulse::tokenSeen(Milliseconds now, std::optional<Milliseconds> gap)
{
    const std::lock_guard lock(m_mutex);
    m_lastToken = std::max(m_lastToken, now);
    if (gap)
        m_detector->observe(*gap);
}

PulseVerdict EndpointPulse::verdict(Milliseconds now, const StreamActivity& activity) const
{
    const std::lock_guard lock(m_mutex);
    const auto due = deadlinesOf(activity);
    if (now >= due.endpoint)
        return PulseVerdict::EndpointSilent;
    if (now >= due.stream)
        return PulseVerdict::StreamSilent;
    return PulseVerdict::Alive;
}

Milliseconds EndpointPulse::nextCheck(const StreamActivity& activity) const
{
    const std::lock_guard lock(m_mutex);
    const auto due = deadlinesOf(activity);
    return std::min(due.endpoint, due.stream);
}

Milliseconds EndpointPulse::patience() const
{
    const std::lock_guard lock(m_mutex);
    return m_detector->patience();
}

EndpointPulse::Deadlines EndpointPulse::deadlinesOf(const StreamActivity& activity) const
{
    // A token of any stream on the endpoint proves that the endpoint is alive.
    const auto lastEndpointActivity = std::max(m_lastToken, activity.lastActivity);
    if (activity.hasToken)
        return { lastEndpointActivity + m_detector->patience(), activity.lastActivity + m_settings.loneStreamTimeout };
    return { lastEndpointActivity + m_settings.prefillTimeout, activity.lastActivity + m_settings.firstTokenTimeout };
}

} // namespace lupinknot
