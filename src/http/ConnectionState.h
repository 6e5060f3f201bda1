// What a connection of an HttpServer is doing.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class ConnectionState {
    New, // Nothing has arrived on it.
    ReceivingHeader,
    ReceivingBody, // The header of its request is complete, and the body is not.
    Busy, // Its request is complete, and the response is not.
    Resting, // Between two requests. The caller has been told how long it may reuse the connection.
    Closing, // It gets a refusal at most.
};

inline constexpr std::array<EnumName<ConnectionState>, 6> connectionStateNames { {
    { ConnectionState::New, "new" },
    { ConnectionState::ReceivingHeader, "receiving-header" },
    { ConnectionState::ReceivingBody, "receiving-body" },
    { ConnectionState::Busy, "busy" },
    { ConnectionState::Resting, "resting" },
    { ConnectionState::Closing, "closing" },
} };

} // namespace lupinknot::internal
