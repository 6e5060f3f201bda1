// One call to a plain service: tries the service's endpoints until one responds, within the call's deadline.
#pragma once

#include "common/ByteSizes.h"
#include "daemon/EndpointState.h"
#include "daemon/GenerationContext.h"
#include "daemon/SharedAnswerMemory.h"
#include "http/HttpCallListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include <memory>
#include <mutex>

namespace lupinknot::internal {

class HttpCall;
class HttpExchange;
struct JsonError;

// The response is passed on when it is complete, so that an attempt that fails during its response can be retried
// without the caller receiving a part of it. A call that must not be repeated is retried only if no connection was
// established.
//
// Thread-safe, with one lock of its own. Kept alive by its call in progress.
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

    void startNextAttempt();
    HttpRequest endpointRequest() const;
    void endAttempt(std::optional<FailureKind>);
    bool mayRetry(HttpCallFailure) const;
    void refuse(const JsonError&);
    // Ends the call because its response, or the responses of all calls, take too much memory.
    void giveUpLarge();
    void cancel();
    std::string subject() const;

    const GenerationContext m_context;
    const ServiceSettings& m_service;
    const std::shared_ptr<HttpExchange> m_exchange;
    const bool m_repeatable;
    const Milliseconds m_deadline;

    std::mutex m_mutex;
    // The members below are guarded by the lock.
    unsigned m_attempts { 0 };
    bool m_mayHaveRun { false };
    bool m_isOver { false };
    std::vector<std::string> m_failedEndpoints;
    std::shared_ptr<EndpointState> m_endpoint;
    std::shared_ptr<HttpCall> m_call;
    HttpResponse m_response;
    // Counts the response's body.
    std::shared_ptr<SharedAnswerMemory::Holding> m_held;
};

} // namespace lupinknot::internal
