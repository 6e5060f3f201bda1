// Computes how long a stream may be silent before its endpoint is suspected.
//
// A detector learns from the gaps between tokens. docs/DETECTORS.md compares the detectors.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <memory>

namespace lupinknot {

enum class DetectorKind {
    Fixed, // A constant, independent of the gaps.
    Quantile, // A multiple of a high quantile of the recent gaps.
    Maximum, // The longest of the recent gaps, plus a margin.
    PhiAccrual, // Phi accrual over a normal distribution of the recent gaps (Hayashibara et al., 2004).
};

inline constexpr std::array<EnumName<DetectorKind>, 4> detectorKindNames { {
    { DetectorKind::Fixed, "fixed" },
    { DetectorKind::Quantile, "quantile" },
    { DetectorKind::Maximum, "maximum" },
    { DetectorKind::PhiAccrual, "phi-accrual" },
} };

// Bounds of the timeout that a detector computes.
struct SilenceBounds {
    Milliseconds floor { 350 };
    Milliseconds ceiling { 1500 };
};

// Not thread-safe: the lock of EndpointLiveness protects it.
class SilenceDetector {
public:
    virtual ~SilenceDetector() = default;
    // Adds the gap between two tokens of one stream.
    virtual void observe(Milliseconds gap) = 0;
    // The silence timeout, within the bounds.
    virtual Milliseconds silenceTimeout() const = 0;
};

// Creates a detector of a kind. The fixed detector always returns the lower bound.
std::unique_ptr<SilenceDetector> makeSilenceDetector(DetectorKind, SilenceBounds);

} // namespace lupinknot
