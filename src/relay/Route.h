// A route: which requests go to which services, and the limits and objectives that apply to them. Lives for one version
// of the configuration.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/RequestKind.h"
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

// One of the services among which a route's requests are divided.
struct ServiceShare {
    std::string service;
    std::uint32_t weight { 1 };
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::NonIdempotent };
    // Longest time from a request's arrival to its complete answer.
    Milliseconds timeout { 30000 };
    // Target time for the answer, or for a stream's first event.
    Milliseconds objective { 1000 };
    // Longest pause between two events of a stream that still meets the route's objective.
    Milliseconds longestPause { 1000 };
    // Maximum number of endpoints that one request may be sent to.
    unsigned maxAttempts { 1 };
    // The route's rank; see admission/RequestRank.
    std::optional<unsigned> rank;
    // True when callers need no API key.
    bool isPublic { false };
    // True when a stream may resume at another endpoint.
    bool isResumable { false };
    std::vector<ServiceShare> services;

    bool mayRunAgain() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::EventStream && isResumable);
    }
};

} // namespace lupinknot::internal
