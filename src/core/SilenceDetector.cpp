#include "lupinknot/SilenceDetector.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lupinknot {

namespace internal {

// The most recent gaps between tokens. A new gap overwrites the oldest one.
class GapWindow {
public:
    // With fewer gaps than minimumCount the distribution is not meaningful.
    GapWindow(std::size_t capacity, std::size_t minimumCount)
        : m_capacity(capacity)
        , m_minimumCount(minimumCount)
    {
    }

    void add(Milliseconds gap)
    {
        if (m_gaps.size() < m_capacity)
            m_gaps.push_back(gap.count());
        else
            m_gaps[m_next] = gap.count();
        m_next = (m_next + 1) % m_capacity;
    }
    bool hasEnoughGaps() const { return m_gaps.size() >= m_minimumCount; }
    const std::vector<std::int64_t>& gaps() const { return m_gaps; }

private:
    std::size_t m_capacity;
    std::size_t m_minimumCount;
    std::vector<std::int64_t> m_gaps;
    std::size_t m_next { 0 };
};

class FixedDetector final : public SilenceDetector {
public:
    explicit FixedDetector(SilenceBounds bounds)
        : m_bounds(bounds)
    {
    }
    void observe(Milliseconds) override { }
    Milliseconds silenceTimeout() const override { return m_bounds.floor; }

private:
    SilenceBounds m_bounds;
};

// Base of the detectors that learn. Recomputes the timeout once per a number of gaps instead of after each gap. Returns
// the ceiling until there are enough gaps.
class LearningDetector : public SilenceDetector {
public:
    LearningDetector(SilenceBounds bounds, GapWindow window)
        : m_bounds(bounds)
        , m_window(std::move(window))
        , m_silenceTimeout(bounds.ceiling)
    {
    }

    void observe(Milliseconds gap) override
    {
        m_window.add(gap);
        if (++m_gapsSinceUpdate < gapsPerUpdate || !m_window.hasEnoughGaps())
            return;
        m_gapsSinceUpdate = 0;
        m_silenceTimeout = std::clamp(estimate(m_window.gaps()), m_bounds.floor, m_bounds.ceiling);
    }

    Milliseconds silenceTimeout() const override { return m_silenceTimeout; }

protected:
    virtual Milliseconds estimate(const std::vector<std::int64_t>& gaps) const = 0;

private:
    static constexpr unsigned gapsPerUpdate = 16;

    SilenceBounds m_bounds;
    GapWindow m_window;
    Milliseconds m_silenceTimeout;
    unsigned m_gapsSinceUpdate { 0 };
};

class QuantileDetector final : public LearningDetector {
public:
    explicit QuantileDetector(SilenceBounds bounds)
        : LearningDetector(bounds, { 256, 16 })
    {
    }

private:
    static constexpr double quantile = 0.99;
    static constexpr std::int64_t factor = 3;

    Milliseconds estimate(const std::vector<std::int64_t>& gaps) const override
    {
        auto sorted = gaps;
        const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(sorted.size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
        return Milliseconds { factor * sorted[static_cast<std::size_t>(rank)] };
    }
};

class MaximumDetector final : public LearningDetector {
public:
    explicit MaximumDetector(SilenceBounds bounds)
        : LearningDetector(bounds, { 1024, 128 })
    {
    }

private:
    static constexpr double factor = 1.3;

    Milliseconds estimate(const std::vector<std::int64_t>& gaps) const override
    {
        const auto longest = *std::max_element(gaps.begin(), gaps.end());
        return Milliseconds { std::llround(factor * static_cast<double>(longest)) };
    }
};

class PhiAccrualDetector final : public LearningDetector {
public:
    explicit PhiAccrualDetector(SilenceBounds bounds)
        : LearningDetector(bounds, { 256, 16 })
    {
    }

private:
    // Number of standard deviations above the mean at which phi is 8: a probability of 1e-8 for a normal distribution.
    static constexpr double deviationsAtPhi8 = 5.61;

    Milliseconds estimate(const std::vector<std::int64_t>& gaps) const override
    {
        double sum = 0;
        double squares = 0;
        for (const auto gap : gaps) {
            const auto value = static_cast<double>(gap);
            sum += value;
            squares += value * value;
        }
        const auto count = static_cast<double>(gaps.size());
        const auto mean = sum / count;
        const auto deviation = std::sqrt(std::max(0.0, squares / count - mean * mean));
        return Milliseconds { std::llround(mean + deviationsAtPhi8 * deviation) };
    }
};

template <typename Detector> std::unique_ptr<SilenceDetector> make(SilenceBounds bounds)
{
    return std::make_unique<Detector>(bounds);
}

struct DetectorMaker {
    DetectorKind kind;
    std::unique_ptr<SilenceDetector> (*make)(SilenceBounds);
};

constexpr std::array<DetectorMaker, 4> detectorMakers { {
    { DetectorKind::Fixed, make<FixedDetector> },
    { DetectorKind::Quantile, make<QuantileDetector> },
    { DetectorKind::Maximum, make<MaximumDetector> },
    { DetectorKind::PhiAccrual, make<PhiAccrualDetector> },
} };

} // namespace internal

std::unique_ptr<SilenceDetector> makeSilenceDetector(DetectorKind kind, SilenceBounds bounds)
{
    for (const auto& maker : internal::detectorMakers) {
        if (maker.kind == kind)
            return maker.make(bounds);
    }
    return nullptr;
}

} // namespace lupinknot
