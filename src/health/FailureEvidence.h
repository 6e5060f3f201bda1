// What shows that an endpoint has failed; a label of logs and metrics.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

// From the weakest to the strongest.
enum class FailureEvidence {
    Silent, // It answers nothing on a connection that is established. It may answer later.
    Unreachable, // Nothing answers an attempt to connect: its host, the network or a full accept queue.
    Failed, // It refuses connections, or a connection to it broke.
};

inline constexpr std::array<EnumName<FailureEvidence>, 3> failureEvidenceNames { {
    { FailureEvidence::Silent, "silent" },
    { FailureEvidence::Unreachable, "unreachable" },
    { FailureEvidence::Failed, "failed" },
} };

} // namespace lupinknot::internal
