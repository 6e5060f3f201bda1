// The JSON body of every error response: `{"error": {"code", "message", "outcome"?, "field"?}}`.
#pragma once

#include "http/HttpResponse.h"
#include "lupinknot/Clock.h"
#include "lupinknot/RunOutcome.h"

namespace lupinknot::internal {

struct JsonError {
    unsigned status { 500 };
    // A stable identifier for programs.
    std::string code;
    // Human-readable message: what was expected, what was received, what to do.
    std::string message;
    // The field or limit that caused the error; empty if there is none.
    std::string field;
    RunOutcome outcome { RunOutcome::NotRun };
    // Time after which a retry makes sense.
    std::optional<Milliseconds> retryAfter;
};

std::string jsonBody(const JsonError&);

// A complete response with the status, the outcome and, if a retry makes sense, the Retry-After header.
HttpResponse errorResponse(const JsonError&);

} // namespace lupinknot::internal
