// Interface through which a VM requests permits to send requests to rate-limited endpoints, and reports the limits that
// endpoints state.
//
//     permits.ask({ incarnationName, limit, permitTimeout }, [](const PermitAnswer& answer) { ... });
//
// Used on the relay's thread only. Outlives the answers to permit requests, or drops them.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

// An endpoint's limit as a VM knows it.
struct LimitReport {
    // Requests a second; empty if the endpoint states no limit.
    std::optional<double> perSecond;
    // Time since an answer of the endpoint stated it.
    Milliseconds age { 0 };
};

struct PermitRequest {
    // Identifies the endpoint incarnation (EndpointEntry::incarnationName).
    std::string endpoint;
    LimitReport report;
    // How long the request can wait for its slot.
    Milliseconds permitTimeout { 0 };
};

struct PermitAnswer {
    bool isGranted { false };
    // Time until the request may be sent or, without a permit, until another request may succeed.
    Milliseconds wait { 0 };
    // The limit as known to the VM that answers.
    LimitReport report;
};

class PermitSource {
public:
    virtual ~PermitSource() = default;
    // Calls back once, never before it returns.
    virtual void ask(const PermitRequest&, std::function<void(const PermitAnswer&)>) = 0;
    // Reports a limit without requesting a permit.
    virtual void reportLimit(const std::string& endpoint, const LimitReport&) = 0;
};

} // namespace lupinknot::internal
