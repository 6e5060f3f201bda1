// The purpose of a retry; see relay/RetryBudget.
#pragma once

namespace lupinknot::internal {

enum class RetryPurpose {
    Failover, // Continues an answer that has begun, or a request whose endpoint failed, on another endpoint.
    AfterRejection, // An endpoint rejected the request. A full service is usually full for all VMs.
    Proactive, // Nothing has failed yet: a hedged request, or a preemptive move of a run.
};

} // namespace lupinknot::internal
