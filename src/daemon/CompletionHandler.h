// Takes callers' requests for completions.
#pragma once

#include "daemon/GenerationContext.h"
#include <memory>
#include <optional>

namespace lupinknot::internal {

class GenerationRegistry;
class HttpExchange;
struct Admission;
struct CompletionRequest;
struct JsonError;
struct PeerIdentity;
struct Placement;

// Thread-safe; holds no state of its own.
class CompletionHandler {
public:
    CompletionHandler(const GenerationContext&, GenerationRegistry&);

    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void serve(const std::shared_ptr<HttpExchange>&, const CompletionRequest&, unsigned placings);
    void placed(const std::shared_ptr<HttpExchange>&, const CompletionRequest&, unsigned placings, const Placement&);
    void forward(
        const std::shared_ptr<HttpExchange>&, const CompletionRequest&, unsigned placings, const PeerIdentity&);
    void takeOver(const std::shared_ptr<HttpExchange>&, const CompletionRequest&);
    void admit(const std::shared_ptr<HttpExchange>&, const CompletionRequest&);
    std::optional<JsonError> refusalFor(const Admission&, const CompletionRequest&) const;
    void refuse(HttpExchange&, const JsonError&);

    const GenerationContext m_context;
    GenerationRegistry& m_registry;
};

} // namespace lupinknot::internal
