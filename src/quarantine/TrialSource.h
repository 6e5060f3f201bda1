// Decides for all VMs which attempt tries a request again after a hold.
//
// Load pattern: the callers of a request that crashes endpoints return to many VMs at once when its hold ends. If each
// VM decided alone, each would admit a trial, and each trial would crash an endpoint.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <string>

namespace lupinknot::internal {

enum class TrialAnswer {
    Granted,
    Denied, // Another attempt is the trial, or the request is still held.
    Unknown, // No other VM has answered.
};

struct TrialDecision {
    TrialAnswer answer { TrialAnswer::Unknown };
    // Time until a denied request may ask again.
    Milliseconds wait { 0 };
};

class TrialSource {
public:
    using Callback = std::function<void(const TrialDecision&)>;

    virtual ~TrialSource() = default;
    // Calls back once, possibly before it returns.
    virtual void ask(const std::string& digest, Callback) = 0;
};

} // namespace lupinknot::internal
