// One call to a plain service: tried on its endpoints until one answers, within the call's deadline.
#pragma once

#include "common/ByteSizes.h"
#include "daemon/EndpointState.h"
#include "daemon/GenerationContext.h"
#include "http/HttpCallListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include <memory>
#include <mutex>

namespace lupinknot::internal {

class HttpCall;
class HttpExchange;
struct JsonError;

// The response is passed on when it is whole, so that a try that breaks off can be repeated without a trace. A call
// that must not be repeated is tried again only where no connection came about.
//
// Thread-safe, under one lock of its own. Kept alive by its call in progress.
class ServiceCall final : public HttpCallListener, public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(const GenerationContext&, const ServiceSettings&, std::shared_ptr<HttpExchange>, bool repeatable);

    void start();

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    static constexpr std::size_t maxResponseBytes = 16 * mebibyte;

    void tryNext();
    HttpRequest outgoing() const;
    void endTry(std::optional<FailureKind>);
    bool mayTryAgain(HttpCallFailure) const;
    void refuse(const JsonError&);
    void cancel();
    std::string subject() const;

    const GenerationContext m_context;
    const ServiceSettings& m_service;
    const std::shared_ptr<HttpExchange> m_exchange;
    const bool m_repeatable;
    const Milliseconds m_deadline;

    std::mutex m_mutex;
    // All that follows is under the lock.
    unsigned m_tries { 0 };
    bool m_mayHaveRun { false };
    bool m_isOver { false };
    std::vector<std::string> m_avoid;
    std::shared_ptr<EndpointState> m_endpoint;
    std::shared_ptr<HttpCall> m_call;
    HttpResponse m_response;
};

} // namespace lupinknot::internal
