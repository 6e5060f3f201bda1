// Who detected the failure of a zone; a label of logs and metrics.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class ZoneFailureSource {
    Own, // This VM alone.
    Collector, // A collector, from the reports of several VMs.
};

inline constexpr std::array<EnumName<ZoneFailureSource>, 2> zoneFailureSourceNames { {
    { ZoneFailureSource::Own, "own" },
    { ZoneFailureSource::Collector, "collector" },
} };

} // namespace lupinknot::internal
