// One HTTP response: complete, or the status and header of a streamed one.
#pragma once

#include "http/HttpHeaders.h"
#include <memory>
#include <string>

namespace lupinknot::internal {

struct HttpResponse {
    unsigned status { 200 };
    HttpHeaders headers;
    std::string body;
    // Of a response to a caller: released when it has been sent or its connection has closed.
    std::shared_ptr<void> heldUntilSent {};
};

} // namespace lupinknot::internal
