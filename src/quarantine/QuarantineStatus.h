// Whether the quarantine allows a request to be sent to an endpoint.
#pragma once

namespace lupinknot::internal {

enum class QuarantineStatus {
    Free,
    Pending, // Wait: recent losses under the request are not evaluated yet.
    Held,
};

} // namespace lupinknot::internal
