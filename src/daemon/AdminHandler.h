// Serves the operators' and load balancer's requests: health, readiness, metrics, status, drain and single generations.
#pragma once

#include "daemon/GenerationContext.h"
#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

class GenerationRegistry;
class HttpExchange;
class PlatformReader;
struct HttpResponse;

// Thread-safe.
class AdminHandler {
public:
    AdminHandler(const GenerationContext&, const GenerationRegistry&, const PlatformReader&);

    // Sets the callback of a request to drain this VM.
    void onDrain(std::function<void()> callback) { m_onDrain = std::move(callback); }
    void setReady(bool isReady) { m_isReady = isReady; }
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    HttpResponse answer(const std::string& method, std::string_view path);
    HttpResponse health();
    HttpResponse readiness();
    HttpResponse metrics();
    HttpResponse status();
    HttpResponse drain();
    HttpResponse generation(const std::string& id);

    const GenerationContext m_context;
    const GenerationRegistry& m_registry;
    const PlatformReader& m_platform;
    std::function<void()> m_onDrain;
    std::atomic<bool> m_isReady { true };
};

} // namespace lupinknot::internal
