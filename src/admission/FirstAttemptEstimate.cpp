#include "admission/FirstAttemptEstimate.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr std::size_t minSamples = 10;
// A third of the attempts must have the longest timeout, so that one caller with a longer one has no effect on others.
constexpr std::size_t minShareOfLongest = 3;
// First attempts state their timeout less the time that the caller needed to connect.
constexpr Milliseconds connectTolerance { 50 };
// Retries rarely state the same timeout; callers with the same setting do.
constexpr Milliseconds sameSettingTolerance { 5 };
constexpr std::size_t maxEqualRetries = 2;

} // namespace

std::size_t FirstAttemptEstimate::countNear(Milliseconds timeout, Milliseconds tolerance) const
{
    return static_cast<std::size_t>(
        std::count_if(m_samples.begin(), m_samples.begin() + static_cast<std::ptrdiff_t>(m_count),
            [&](Milliseconds sample) { return sample >= timeout - tolerance && sample <= timeout + tolerance; }));
}

Milliseconds FirstAttemptEstimate::add(Milliseconds callerTimeout)
{
    const bool isSetting = countNear(callerTimeout, sameSettingTolerance) > maxEqualRetries;
    m_samples[m_next] = callerTimeout;
    m_next = (m_next + 1) % maxSamples;
    m_count = std::min(m_count + 1, maxSamples);
    const auto longest = *std::max_element(m_samples.begin(), m_samples.begin() + static_cast<std::ptrdiff_t>(m_count));
    const bool isRetry = longest - callerTimeout > connectTolerance && !isSetting;
    const bool isLongestUsual = countNear(longest, connectTolerance) * minShareOfLongest >= m_count;
    return isRetry && m_count >= minSamples && isLongestUsual ? longest - callerTimeout : Milliseconds { 0 };
}

} // namespace lupinknot::internal
