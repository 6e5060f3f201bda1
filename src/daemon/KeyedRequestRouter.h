// Brings requests with a key to the VM that is responsible for it.
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

// What a handler does with a request that has come to the right VM. Called on any thread, one of them, once.
struct KeyedRequestActions {
    // This VM runs the key already.
    std::function<bool()> isHere;
    // Serves the request here.
    std::function<void()> serve;
    // Takes the key over from a VM that is lost.
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
    void placed(const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&,
        unsigned tries, const KeyPlacement&) const;
    void forward(const std::shared_ptr<HttpExchange>&, const std::string& key, const KeyedRequestActions&,
        unsigned tries, const PeerIdentity& target) const;

    const GenerationContext m_context;
};

} // namespace lupinknot::internal
