// Handles callers' requests to plain services, which are selected by path.
#pragma once

#include "daemon/GenerationContext.h"
#include "daemon/KeyedRequestRouter.h"
#include <map>
#include <memory>
#include <mutex>
#include <string_view>

namespace lupinknot::internal {

class HttpExchange;
class KeyedServiceCall;
struct ServiceSettings;

// Thread-safe. Calls with a key are kept, under one lock, as long as answers are kept.
class ServiceHandler {
public:
    explicit ServiceHandler(const GenerationContext&);
    ~ServiceHandler();
    ServiceHandler(const ServiceHandler&) = delete;
    ServiceHandler& operator=(const ServiceHandler&) = delete;

    // Returns false when no service has the request's path.
    bool handle(const std::shared_ptr<HttpExchange>&);
    // True when this VM runs or has run a call with a key.
    bool runsKey(const std::string& key);
    void sweep();

private:
    const ServiceSettings* find(std::string_view path) const;
    void handleKeyed(const std::shared_ptr<HttpExchange>&, const ServiceSettings&, bool repeatable);
    void joinCall(const std::shared_ptr<HttpExchange>&, const ServiceSettings&, const std::string& key, bool repeatable,
        bool mayHaveRun);

    const GenerationContext m_context;
    const KeyedRequestRouter m_router;
    mutable std::mutex m_mutex;
    // Guarded by the lock.
    std::map<std::string, std::shared_ptr<KeyedServiceCall>> m_calls;
};

} // namespace lupinknot::internal
