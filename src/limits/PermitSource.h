// Interface through which a VM asks for permits to send requests to rate-limited endpoints, and reports the limits that
// it hears.
//
//     permits.ask({ incarnationName, limit, permitTimeout }, [](const PermitAnswer& answer) { ... });
//
// Used on the relay's thread only. It outlives the answers to its questions or drops them.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

// What a VM has heard of an endpoint's limit.
struct LimitReport {
    // Requests a second; empty if the endpoint states no limit.
    std::optional<double> perSecond;
    // Time since it was heard.
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
    // Time until the request may be sent or, without a permit, until asking again may help.
    Milliseconds wait { 0 };
    // The limit as known to the VM that was asked.
    LimitReport report;
};

class PermitSource {
public:
    virtual ~PermitSource() = default;
    // Calls back once, never before it returns.
    virtual void ask(const PermitRequest&, std::function<void(const PermitAnswer&)>) = 0;
    // Reports a limit without asking for a permit.
    virtual void reportLimit(const std::string& endpoint, const LimitReport&) = 0;
};

} // namespace lupinknot::internal
