// What this VM has seen of a quantity lately, as quantiles of its newest samples.
//
//     Estimate callTime(75);                  // The stated value, which holds until enough has been seen.
//     callTime.add(31, now);
//     callTime.quantile(0.95);
//
// A quantile of a few samples is no better than the stated value, which is given instead until there are enough of
// them. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <array>
#include <cstddef>

namespace lupinknot::internal {

class Estimate {
public:
    explicit Estimate(double stated)
        : m_stated(stated)
    {
    }

    // Takes a sample; one that is no finite number above zero is passed over.
    void add(double sample, Milliseconds now);
    // The value below which this share of the newest samples lies; the stated one before there are enough of them.
    double quantile(double share) const;
    std::size_t sampleCount() const { return m_count; }
    // Whether enough has been seen.
    bool isKnown() const { return m_count >= fewestSamples; }
    // When the newest sample came; 0 when none has.
    Milliseconds newestAt() const { return m_newestAt; }

    // Fewer samples than these are not relied on.
    static constexpr std::size_t fewestSamples = 10;
    // What is older than so many samples is forgotten.
    static constexpr std::size_t mostSamples = 64;

private:
    const double m_stated;
    std::array<double, mostSamples> m_samples {};
    std::size_t m_count { 0 };
    std::size_t m_next { 0 };
    Milliseconds m_newestAt { 0 };
};

} // namespace lupinknot::internal
