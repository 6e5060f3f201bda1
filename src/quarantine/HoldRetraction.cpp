#include "quarantine/HoldRetraction.h"

#include "quarantine/Quarantine.h"

namespace lupinknot::internal {

bool mayHoldBeRetracted(const std::vector<KnownCrash>& records, Milliseconds now)
{
    // Without the reductions for repeated and concurrent losses: an upper bound.
    double finalWeight = 0;
    for (const auto& crash : records) {
        const bool mayBeWithdrawn = crash.record.wasSilent && now - crash.lostAt < silenceRetractionTime;
        finalWeight += mayBeWithdrawn ? 0 : crash.record.weight;
    }
    return finalWeight < Quarantine::holdThreshold;
}

} // namespace lupinknot::internal
