// What is known against a request, for logs.
#pragma once

#include "lupinknot/Clock.h"
#include <cstddef>

namespace lupinknot::internal {

struct QuarantineEvidence {
    // Records of losses that this VM saw, and of those that only other VMs saw.
    std::size_t own { 0 };
    std::size_t reported { 0 };
    // Records that are left out of the score, because a concurrent run was lost with them.
    std::size_t concurrent { 0 };
    // Compared with Quarantine::holdThreshold.
    double score { 0 };
    // The endpoint that was lost first.
    Milliseconds firstLossAt { 0 };
};

} // namespace lupinknot::internal
