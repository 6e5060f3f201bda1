// Receives the response of an outgoing HTTP call.
#pragma once

#include "http/HttpHeaders.h"
#include "lupinknot/EnumNames.h"

namespace lupinknot::internal {

enum class HttpCallFailure {
    NotConnected, // The connection could not be established; nothing was sent.
    Lost, // The connection broke before or during the response.
    TimedOut, // The call's timeout expired.
    Cancelled,
};

inline constexpr std::array<EnumName<HttpCallFailure>, 4> httpCallFailureNames { {
    { HttpCallFailure::NotConnected, "not connected" },
    { HttpCallFailure::Lost, "connection lost" },
    { HttpCallFailure::TimedOut, "timed out" },
    { HttpCallFailure::Cancelled, "cancelled" },
} };

// Methods are called one at a time on threads of the client's pool: the response header first, then any number of body
// pieces, and finally either ended() or failed(). A failure may come at any point. Implementations must not block.
class HttpCallListener {
public:
    virtual ~HttpCallListener() = default;
    virtual void headerArrived(unsigned status, const HttpHeaders&) = 0;
    virtual void bodyArrived(std::string_view piece) = 0;
    virtual void ended() = 0;
    virtual void failed(HttpCallFailure, const std::string& message) = 0;
};

} // namespace lupinknot::internal
