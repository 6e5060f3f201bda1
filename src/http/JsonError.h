// The JSON body of every refusal: `{"error": {"code", "message", "outcome"?, "field"?}}`.
#pragma once

#include "http/HttpResponse.h"
#include "lupinknot/Clock.h"
#include "lupinknot/RunOutcome.h"

namespace lupinknot::internal {

struct JsonError {
    unsigned status { 500 };
    // A stable word for programs.
    std::string code;
    // A sentence for people: what was expected, what came, what to do.
    std::string message;
    // The field or limit that is at fault, if there is one.
    std::string field;
    RunOutcome outcome { RunOutcome::NotRun };
    // When a new try makes sense.
    std::optional<Milliseconds> retryAfter;
};

std::string jsonBody(const JsonError&);

// A whole response with the status, the outcome and, where a new try makes sense, its time.
HttpResponse errorResponse(const JsonError&);

} // namespace lupinknot::internal
