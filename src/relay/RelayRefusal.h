// The relay's own answers: refusals and failures, in one place.
#pragma once

#include "admission/RefusalReason.h"
#include "http/HttpResponse.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <optional>

namespace lupinknot::internal {

struct RelayContext;

// One row of the table of what each reason tells the caller.
struct RefusalTraits {
    RefusalReason reason;
    std::string_view name;
    unsigned status;
    // True when the request has not run and will not: the caller may come back, and is told when.
    bool isNotRun;
    std::string_view message;
};

const RefusalTraits& traitsOf(RefusalReason);

// The answer for a reason; one that has not run says when to come back: after the time given, or the usual one.
HttpResponse refusal(const RelayContext&, RefusalReason, std::optional<Milliseconds> comeBackIn = std::nullopt);

} // namespace lupinknot::internal
