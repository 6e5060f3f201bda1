// Why the failure of a zone turned out to be none; a label of logs and metrics.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class RetractionReason {
    Alive, // At least half of the endpoints that were seen to fail have answered since.
    Spread, // Endpoints of most zones of the service became silent at once.
};

inline constexpr std::array<EnumName<RetractionReason>, 2> retractionReasonNames { {
    { RetractionReason::Alive, "alive" },
    { RetractionReason::Spread, "spread" },
} };

} // namespace lupinknot::internal
