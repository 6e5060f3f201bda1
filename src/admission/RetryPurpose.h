// The purpose of a retry; see relay/RetryBudget.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class RetryPurpose {
    Failover, // Repeats a call whose endpoint failed.
    Continuation, // Continues a stream from a copy of its run; the stream can still be in time.
    Restart, // Starts a stream over before its first event; the stream can still meet its objective.
    LateStream, // Continues a stream that is late in any case, for example with a new prefill in mid-stream.
    WaitingStream, // Continues a stream that has begun and has waited for a retry for long.
    AfterRejection, // An endpoint rejected the request. A full service is usually full for all VMs.
    Proactive, // Nothing has failed yet: a hedged request, or a preemptive move of a run.
};

inline constexpr std::array<EnumName<RetryPurpose>, 7> retryPurposeNames { {
    { RetryPurpose::Failover, "failover" },
    { RetryPurpose::Continuation, "continuation" },
    { RetryPurpose::Restart, "restart" },
    { RetryPurpose::LateStream, "late-stream" },
    { RetryPurpose::WaitingStream, "waiting-stream" },
    { RetryPurpose::AfterRejection, "after-rejection" },
    { RetryPurpose::Proactive, "proactive" },
} };

// The purposes for which a VM may borrow a retry from another one, with their names in messages and logs.
inline constexpr std::array<EnumName<RetryPurpose>, 2> loanPurposeNames { {
    { RetryPurpose::Continuation, "continuation" },
    { RetryPurpose::Restart, "restart" },
} };

constexpr bool mayBorrow(RetryPurpose purpose)
{
    return purpose == RetryPurpose::Continuation || purpose == RetryPurpose::Restart;
}

} // namespace lupinknot::internal
