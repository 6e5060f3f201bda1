// Handles callers' requests for completions.
#pragma once

#include "daemon/GenerationContext.h"
#include "daemon/KeyedRequestRouter.h"
#include <memory>
#include <optional>

namespace lupinknot::internal {

class GenerationRegistry;
class HttpExchange;
struct Admission;
struct CompletionRequest;
struct JsonError;

// Thread-safe; holds no state of its own.
class CompletionHandler {
public:
    CompletionHandler(const GenerationContext&, GenerationRegistry&);

    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void serve(const std::shared_ptr<HttpExchange>&, const CompletionRequest&);
    void takeOver(const std::shared_ptr<HttpExchange>&, const CompletionRequest&);
    void admit(const std::shared_ptr<HttpExchange>&, const CompletionRequest&);
    std::optional<JsonError> refusalFor(const Admission&, const CompletionRequest&) const;
    void refuse(HttpExchange&, const JsonError&);

    const GenerationContext m_context;
    GenerationRegistry& m_registry;
    const KeyedRequestRouter m_router;
};

} // namespace lupinknot::internal
