// Takes callers' requests to plain services, by their path.
#pragma once

#include "daemon/GenerationContext.h"
#include <memory>
#include <string_view>

namespace lupinknot::internal {

class HttpExchange;
struct ServiceSettings;

// Thread-safe; holds no state of its own.
class ServiceHandler {
public:
    explicit ServiceHandler(const GenerationContext&);

    // Returns false when no service has the request's path.
    bool handle(const std::shared_ptr<HttpExchange>&);

private:
    const ServiceSettings* find(std::string_view path) const;

    const GenerationContext m_context;
};

} // namespace lupinknot::internal
