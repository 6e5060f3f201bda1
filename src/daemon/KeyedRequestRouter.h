// Routes requests with a key to the VM that is responsible for it.
#pragma once

#include "daemon/GenerationContext.h"
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

class HttpExchange;
struct JsonError;
struct PeerIdentity;
struct KeyPlacement;

// The actions of a handler for a request that has reached the right VM. At most one of serve, takeOver and refuse is
// called, once, on any thread.
struct KeyedRequestActions {
    // Returns true when this VM already runs the key.
    std::function<bool()> isRunningHere;
    // Serves the request on this VM.
    std::function<void()> serve;
    // Takes the key over from a lost VM.
    std::function<void()> takeOver;
    std::function<void(const JsonError&)> refuse;
};

// Thread-safe; holds no state of its own.
class KeyedRequestRouter {
public:
    explicit KeyedRequestRouter(const GenerationContext&);

    void route(const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&) const;

private:
    void tryRoute(
        const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&, unsigned tries) const;
    void handlePlacement(const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&,
        unsigned tries, const KeyPlacement&) const;
    void forward(const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&,
        unsigned tries, const PeerIdentity& target) const;

    const GenerationContext m_context;
};

} // namespace lupinknot::internal
