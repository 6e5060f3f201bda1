// Where a VM asks whether it may send a request to an endpoint under a limit, and tells what it has heard of one.
//
//     permits.ask({ incarnationName, limit, permitTimeout }, [](const PermitAnswer& answer) { ... });
//
// Used on the relay's thread only; it outlives its questions' answers or drops them.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <optional>
#include <string>

namespace lupinknot::internal {

// What one VM has heard of an endpoint's limit.
struct LimitReport {
    // Requests a second; nothing when the endpoint names no limit.
    std::optional<double> perSecond;
    // How long ago it was heard.
    Milliseconds age { 0 };
};

struct PermitRequest {
    // Names the start of the endpoint (EndpointEntry::incarnationName).
    std::string endpoint;
    LimitReport report;
    // How long the request can wait for its place.
    Milliseconds permitTimeout { 0 };
};

struct PermitAnswer {
    bool isGranted { false };
    // Until the request may be sent, or, without a permit, until asking again may help.
    Milliseconds wait { 0 };
    // What is known of the limit where it was asked.
    LimitReport report;
};

class PermitSource {
public:
    virtual ~PermitSource() = default;
    // Calls back once, never before it returns.
    virtual void ask(const PermitRequest&, std::function<void(const PermitAnswer&)>) = 0;
    // Passes report of a limit on without asking for a permit.
    virtual void reportLimit(const std::string& endpoint, const LimitReport&) = 0;
};

} // namespace lupinknot::internal
