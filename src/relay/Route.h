// A route: which requests go to which services, and the terms on which they are served. Lives for one version of the
// configuration.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/RequestKind.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

// One of the services that share a route's requests.
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
    // Longest time that a request may be held.
    Milliseconds timeout { 30000 };
    // Time in which an answer, or a stream's first event, should be there.
    Milliseconds objective { 1000 };
    // Longest pause between two events of a stream that callers take as in time.
    Milliseconds longestPause { 1000 };
    // Endpoints that one request may be sent to.
    unsigned maxAttempts { 1 };
    // True when callers need no key.
    bool isPublic { false };
    // True when a stream may go on at another endpoint.
    bool isResumable { false };
    std::vector<ServiceShare> services;

    bool mayRunAgain() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::EventStream && isResumable);
    }
};

} // namespace lupinknot::internal
