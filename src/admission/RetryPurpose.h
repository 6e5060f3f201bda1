// What a retry is for; see relay/RetryBudget.
#pragma once

namespace lupinknot::internal {

enum class RetryPurpose {
    Failover, // An answer that has begun, or a request whose endpoint failed, goes on elsewhere.
    AfterRejection, // An endpoint turned the request away. A service that is full is full for all VMs at once.
    Proactive, // Nothing has failed yet: a second sending of a slow call, or a move to where a copy can grow.
};

} // namespace lupinknot::internal
