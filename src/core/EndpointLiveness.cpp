#include "lupinknot/EndpointLiveness.h"

#include <algorithm>

namespace lupinknot {

EndpointLiveness::EndpointLiveness(const LivenessSettings& settings)
    : m_settings(settings)
    , m_detector(makeSilenceDetector(settings.detector, settings.bounds))
{
}

void EndpointLiveness::tokenSeen(Milliseconds now, std::optional<Milliseconds> gap)
{
    const std::lock_guard lock(m_mutex);
    m_lastToken = std::max(m_lastToken, now);
    if (gap)
        m_detector->observe(*gap);
}

LivenessVerdict EndpointLiveness::verdict(Milliseconds now, const StreamActivity& activity) const
{
    const std::lock_guard lock(m_mutex);
    const auto due = limits(activity);
    if (now >= due.endpoint)
        return LivenessVerdict::EndpointSilent;
    if (now >= due.stream)
        return LivenessVerdict::StreamSilent;
    return LivenessVerdict::Alive;
}

Milliseconds EndpointLiveness::nextCheck(const StreamActivity& activity) const
{
    const std::lock_guard lock(m_mutex);
    const auto due = limits(activity);
    return std::min(due.endpoint, due.stream);
}

Milliseconds EndpointLiveness::silenceTimeout() const
{
    const std::lock_guard lock(m_mutex);
    return m_detector->silenceTimeout();
}

EndpointLiveness::Limits EndpointLiveness::limits(const StreamActivity& activity) const
{
    // A token of another stream is as good a sign of life as one of this stream.
    const auto lastSign = std::max(m_lastToken, activity.lastActivity);
    if (activity.hasToken)
        return { lastSign + m_detector->silenceTimeout(), activity.lastActivity + m_settings.loneStreamPatience };
    return { lastSign + m_settings.prefillPatience, activity.lastActivity + m_settings.firstTokenTimeout };
}

} // namespace lupinknot
