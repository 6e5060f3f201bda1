// Passes a caller's request on to the VM that is responsible for its key, and the answer back, as it comes.
#pragma once

#include "daemon/GenerationContext.h"
#include "daemon/PeerWatcher.h"
#include "http/HttpBodySource.h"
#include "http/HttpCallListener.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include <functional>
#include <memory>
#include <mutex>

namespace lupinknot::internal {

class HttpCall;
class HttpExchange;

// Thread-safe, under one lock of its own. When the other VM is lost in the middle of its answer, the caller's
// connection is closed too: the caller comes back with its key and position, as it would have done had it asked the
// other VM itself.
class ForwardedRequest final : public HttpCallListener,
                               public HttpBodySource,
                               public PeerWatcher,
                               public std::enable_shared_from_this<ForwardedRequest> {
public:
    // Carried by forwarded requests; its value counts how often the request was passed on.
    static constexpr auto hopsHeader = "Lupinknot-Forwarded";

    ForwardedRequest(const GenerationContext&, std::shared_ptr<HttpExchange>, std::string vm);

    // Sets what to call instead of a refusal when the other VM is lost before it answers. Placing the request anew is
    // what the caller would do.
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }
    void start(const SocketAddress&, unsigned hops);

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

    HttpBodyPiece next() override;

    // The other VM is dead, cut off or standing still; its connection may say nothing of that for long.
    void peerLost() override;

private:
    void callerGone();
    void cancelCall();

    const GenerationContext m_context;
    const std::shared_ptr<HttpExchange> m_exchange;
    const std::string m_vm;
    std::function<void()> m_onLost;
    std::mutex m_mutex;
    // All that follows is under the lock.
    std::shared_ptr<HttpCall> m_call;
    // Of an answer that is not streamed; it is passed on when it is whole.
    HttpResponse m_response;
    bool m_isStream { false };
    std::string m_bytes;
    bool m_isEnded { false };
    bool m_isPeerLost { false };
    bool m_isCallerGone { false };
};

} // namespace lupinknot::internal
