// Quantiles of the newest samples of a quantity that this VM observes.
//
//     Estimate callTime(75);                  // The default value, used until there are enough samples.
//     callTime.add(31, now);
//     callTime.quantile(0.95);
//
// Until there are enough samples, the default value is returned: a quantile of a few samples is no better.
//
// Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <array>
#include <cstddef>

namespace lupinknot::internal {

class Estimate {
public:
    explicit Estimate(double defaultValue)
        : m_defaultValue(defaultValue)
    {
    }

    // Adds a sample; ignores one that is not finite or not above zero.
    void add(double sample, Milliseconds now);
    // The value below which this share of the newest samples lies; the default value until there are enough samples.
    double quantile(double share) const;
    std::size_t sampleCount() const { return m_count; }
    // True once there are enough samples.
    bool isKnown() const { return m_count >= minSamples; }
    // When the newest sample was added; 0 when there is none.
    Milliseconds newestAt() const { return m_newestAt; }

    // Samples needed before the default value is replaced.
    static constexpr std::size_t minSamples = 10;
    // Samples kept; older ones are overwritten.
    static constexpr std::size_t maxSamples = 64;

private:
    const double m_defaultValue;
    std::array<double, maxSamples> m_samples {};
    std::size_t m_count { 0 };
    std::size_t m_next { 0 };
    Milliseconds m_newestAt { 0 };
};

} // namespace lupinknot::internal
