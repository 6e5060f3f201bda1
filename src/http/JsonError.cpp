#include "http/JsonError.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

constexpr std::int64_t millisecondsInSecond = 1000;

// Retry-After is in whole seconds (RFC 9110, 10.2.3); fractions are rounded up.
std::string wholeSeconds(Milliseconds time)
{
    return std::to_string((time.count() + millisecondsInSecond - 1) / millisecondsInSecond);
}

} // namespace

std::string jsonBody(const JsonError& error)
{
    nlohmann::json body { { "code", error.code }, { "message", error.message },
        { "outcome", nameIn(runOutcomeNames, error.outcome) } };
    if (!error.field.empty())
        body["field"] = error.field;
    const nlohmann::json whole { { "error", body } };
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const JsonError& error)
{
    HttpResponse response;
    response.status = error.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Lupinknot-Outcome", std::string(nameIn(runOutcomeNames, error.outcome)));
    if (error.retryAfter)
        response.headers.add("Retry-After", wholeSeconds(*error.retryAfter));
    response.body = jsonBody(error);
    return response;
}

} // namespace lupinknot::internal
