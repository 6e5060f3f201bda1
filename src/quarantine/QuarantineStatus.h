// Whether a request may be sent to an endpoint, as far as endpoints have ended under it.
#pragma once

namespace lupinknot::internal {

enum class QuarantineStatus {
    Free,
    Pending, // Wait; what has just been lost under it is being judged.
    Held,
};

} // namespace lupinknot::internal
