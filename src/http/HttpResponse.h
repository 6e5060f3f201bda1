// One HTTP response: complete, or the status and header of a streamed one.
#pragma once

#include "http/HttpHeaders.h"

namespace lupinknot::internal {

struct HttpResponse {
    unsigned status { 200 };
    HttpHeaders headers;
    std::string body;
};

} // namespace lupinknot::internal
