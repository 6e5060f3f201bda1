// Hears of what comes back from an outgoing HTTP call.
#pragma once

#include "http/HttpHeaders.h"
#include "lupinknot/EnumNames.h"

namespace lupinknot::internal {

enum class HttpCallFailure {
    NotConnected, // No connection came about: nothing was sent.
    Lost, // The connection broke, before or within the response.
    TimedOut, // The call's time limit passed.
    Cancelled,
};

inline constexpr std::array<EnumName<HttpCallFailure>, 4> httpCallFailureNames { {
    { HttpCallFailure::NotConnected, "not connected" },
    { HttpCallFailure::Lost, "connection lost" },
    { HttpCallFailure::TimedOut, "timed out" },
    { HttpCallFailure::Cancelled, "cancelled" },
} };

// Calls come one at a time from threads of the client's pool: head, any number of pieces, and at last either end or
// failure, after which there is no other. Implementations must not block.
class HttpCallListener {
public:
    virtual ~HttpCallListener() = default;
    virtual void headerArrived(unsigned status, const HttpHeaders&) = 0;
    virtual void bodyArrived(std::string_view piece) = 0;
    virtual void ended() = 0;
    virtual void failed(HttpCallFailure, const std::string& message) = 0;
};

} // namespace lupinknot::internal
