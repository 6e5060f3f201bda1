#include "relay/Estimate.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

void Estimate::add(double sample, Milliseconds now)
{
    if (!std::isfinite(sample) || sample <= 0)
        return;
    m_samples[m_next] = sample;
    m_next = (m_next + 1) % maxSamples;
    m_count = std::min(m_count + 1, maxSamples);
    m_newestAt = now;
}

double Estimate::quantile(double share) const
{
    if (!isKnown())
        return m_defaultValue;
    auto sorted = m_samples;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
    const auto rank = std::clamp(share, 0.0, 1.0) * static_cast<double>(m_count - 1);
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(std::lround(rank));
    std::nth_element(sorted.begin(), position, end);
    return *position;
}

} // namespace lupinknot::internal
