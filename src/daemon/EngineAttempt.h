// One attempt's call to its engine: sends the request, reads the events, reports to the generation.
#pragma once

#include "daemon/EngineProtocol.h"
#include "http/HttpCallListener.h"
#include "http/SocketAddress.h"
#include "http/SseParser.h"
#include "lupinknot/AttemptHost.h"
#include <atomic>
#include <memory>

namespace lupinknot::internal {

class HttpCall;
class HttpCallGroup;
class LiveGeneration;

// The call's threads come one at a time; cancel() may come from any. Keeps the generation alive until the call ends.
class EngineAttempt final : public HttpCallListener, public std::enable_shared_from_this<EngineAttempt> {
public:
    // The stream's first token has a position of its own in the answer, before the order's where the attempt attaches.
    EngineAttempt(std::shared_ptr<LiveGeneration>, const AttemptOrder&, std::size_t streamPosition);

    void start(HttpCallGroup&, const SocketAddress&, const HttpRequest&, Milliseconds timeout);
    // Closes the connection, by which the engine stops its work.
    void cancel();
    // The engine has ended the stream itself.
    bool isFinished() const { return m_isFinished; }

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    void take(EngineEvent);
    void fail(FailureKind);

    const std::shared_ptr<LiveGeneration> m_generation;
    const AttemptNumber m_number;
    const std::size_t m_firstPosition;
    std::size_t m_nextPosition;
    SseParser m_parser;
    // Failed, finished or refused: what still comes is not looked at.
    bool m_isOver { false };
    std::atomic<bool> m_isFinished { false };
    const bool m_attaches;
    std::shared_ptr<HttpCall> m_call;
};

} // namespace lupinknot::internal
