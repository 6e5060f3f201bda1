// Forwards a caller's request to the VM that is responsible for its key, and streams the response back as it arrives.
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

// Thread-safe, with one lock of its own. When the other VM is lost during its response, the caller's connection is
// closed too: the caller then returns with its key and position, as it would after a direct request to the other VM.
class ForwardedRequest final : public HttpCallListener,
                               public HttpBodySource,
                               public PeerWatcher,
                               public std::enable_shared_from_this<ForwardedRequest> {
public:
    // Header of forwarded requests; its value is the number of times the request was forwarded.
    static constexpr auto hopsHeader = "Lupinknot-Forwarded";

    ForwardedRequest(const GenerationContext&, std::shared_ptr<HttpExchange>, std::string vm);

    // Sets the callback that is called instead of an error response when the other VM is lost before it responds. The
    // callback routes the request again, as a retry by the caller would.
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }
    void start(const SocketAddress&, unsigned hops);

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

    HttpBodyPiece next() override;

    // The other VM is dead, cut off or paused; its connection may stay open and silent for a long time.
    void peerLost() override;

private:
    void callerDisconnected();
    void cancelCall();

    const GenerationContext m_context;
    const std::shared_ptr<HttpExchange> m_exchange;
    const std::string m_vm;
    std::function<void()> m_onLost;
    std::mutex m_mutex;
    // The members below are guarded by the lock.
    std::shared_ptr<HttpCall> m_call;
    // The response, if it is not streamed; it is passed on when it is complete.
    HttpResponse m_response;
    bool m_isStream { false };
    std::string m_unsentBytes;
    bool m_isEnded { false };
    bool m_isPeerLost { false };
    bool m_isCallerDisconnected { false };
};

} // namespace lupinknot::internal
