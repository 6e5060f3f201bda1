// One HTTP request, received or to be sent.
#pragma once

#include "http/HttpHeaders.h"

namespace lupinknot::internal {

struct HttpRequest {
    std::string method { "GET" };
    // Path and query.
    std::string target { "/" };
    HttpHeaders headers;
    std::string body;

    // The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

} // namespace lupinknot::internal
