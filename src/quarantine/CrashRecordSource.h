// How this VM learned of a crash record; a label of logs and metrics.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class CrashRecordSource {
    Own, // This VM lost the endpoint.
    Store, // The store's table, which outlives the VMs.
    Vm, // Another VM, directly.
};

inline constexpr std::array<EnumName<CrashRecordSource>, 3> crashRecordSourceNames { {
    { CrashRecordSource::Own, "own" },
    { CrashRecordSource::Store, "store" },
    { CrashRecordSource::Vm, "vm" },
} };

} // namespace lupinknot::internal
