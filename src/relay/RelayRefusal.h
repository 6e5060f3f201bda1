// Responses that the relay creates itself: refusals and failures.
#pragma once

#include "admission/RefusalReason.h"
#include "http/HttpResponse.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <optional>

namespace lupinknot::internal {

struct RelayContext;

// The response to the caller for one reason.
struct RefusalTraits {
    RefusalReason reason;
    std::string_view name;
    unsigned status;
    // True when the request has not run and will not: the caller may retry, and the response states when.
    bool isNotRun;
    std::string_view message;
};

const RefusalTraits& traitsOf(RefusalReason);

// Creates the response for a reason. With status 503 it contains the time after which to retry: the given one, or the
// default from the settings.
HttpResponse refusal(const RelayContext&, RefusalReason, std::optional<Milliseconds> retryDelay = std::nullopt);

} // namespace lupinknot::internal
