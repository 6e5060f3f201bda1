// An admitted request: the caller's fields, its route and its deadline. Lives for the request.
#pragma once

#include "admission/RequestRank.h"
#include "http/HttpExchange.h"
#include "relay/CallProtocol.h"
#include "relay/Route.h"
#include <memory>
#include <string>

namespace lupinknot::internal {

struct RelayRequest {
    std::shared_ptr<HttpExchange> exchange;
    CallerFields fields;
    std::shared_ptr<const Route> route;
    std::string service;
    // Empty on public routes.
    std::string organisation;
    // Fixed when the request is admitted; a later configuration does not change it.
    RequestRank rank;
    // Identifies the content of the request, the same at each attempt of its caller (digestOf).
    std::string digest;
    std::uint64_t configurationVersion { 0 };
    Milliseconds admittedAt { 0 };
    // Estimated time of the caller's first attempt; admittedAt when nothing shows an earlier one.
    Milliseconds firstAttemptAt { 0 };
    // When the caller, or the route's timeout, gives up the request.
    Milliseconds deadline { 0 };
};

// Identifies the stream that the request begins or resumes, the same at all attempts of its caller that concern it.
// Hexadecimal. Another request that names the same attempt has another id.
std::string streamIdOf(const RelayRequest&);
// The id of the stream of the same content that the attempt began.
std::string streamIdOf(const RelayRequest&, const std::string& firstAttempt);
// The key under which VMs find the run of the request: its prompt and its content, which are the same also when a
// caller does not name the attempt that it resumes, or else its stream. Other requests of a session name the same
// prompt. Hexadecimal.
std::string runKeyOf(const RelayRequest&);

// The rank in logs: -1 when the configuration names none.
inline std::int64_t loggedRank(const RequestRank& rank)
{
    return rank.isNamed ? static_cast<std::int64_t>(rank.value) : -1;
}

} // namespace lupinknot::internal
