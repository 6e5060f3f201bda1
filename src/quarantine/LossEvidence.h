// What this VM knows about an endpoint under which it has lost a run; a label of logs and metrics.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class LossEvidence {
    ConnectionBroke, // The run's connection broke.
    Silent, // Nothing has arrived from the endpoint since the run became silent.
    Alive, // The endpoint has given a sign of life since the run became silent.
};

inline constexpr std::array<EnumName<LossEvidence>, 3> lossEvidenceNames { {
    { LossEvidence::ConnectionBroke, "connection-broke" },
    { LossEvidence::Silent, "silent" },
    { LossEvidence::Alive, "alive" },
} };

} // namespace lupinknot::internal
