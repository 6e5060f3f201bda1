// A crash record with the time of the loss by this VM's monotonic clock.
#pragma once

#include "lupinknot/Clock.h"
#include "quarantine/CrashRecord.h"

namespace lupinknot::internal {

struct KnownCrash {
    CrashRecord record;
    Milliseconds lostAt { 0 };
};

} // namespace lupinknot::internal
