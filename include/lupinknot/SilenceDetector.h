// Decides how long a stream may stay silent before its endpoint is suspected.
//
// A detector learns from the gaps between tokens. docs/DETECTORS.md compares those that are built in.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <memory>

namespace lupinknot {

enum class DetectorKind {
    Fixed, // A constant, whatever the gaps.
    Quantile, // A multiple of a high quantile of the recent gaps.
    Maximum, // A little more than the longest of the recent gaps.
    PhiAccrual, // Phi accrual over a normal distribution of the recent gaps (Hayashibara et al., 2004).
};

inline constexpr std::array<EnumName<DetectorKind>, 4> detectorKindNames { {
    { DetectorKind::Fixed, "fixed" },
    { DetectorKind::Quantile, "quantile" },
    { DetectorKind::Maximum, "maximum" },
    { DetectorKind::PhiAccrual, "phi-accrual" },
} };

// Bounds of the silenceTimeout that a detector may answer with.
struct SilenceBounds {
    Milliseconds floor { 350 };
    Milliseconds ceiling { 1500 };
};

// Not thread-safe: EndpointLiveness protects it by its lock.
class SilenceDetector {
public:
    virtual ~SilenceDetector() = default;
    // Takes the gap between two tokens of one stream.
    virtual void observe(Milliseconds gap) = 0;
    // How long a silence may last, within the bounds.
    virtual Milliseconds silenceTimeout() const = 0;
};

// Makes a detector of a kind. The fixed one answers with the floor.
std::unique_ptr<SilenceDetector> makeSilenceDetector(DetectorKind, SilenceBounds);

} // namespace lupinknot
