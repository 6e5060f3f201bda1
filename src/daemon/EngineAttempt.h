// The call of one attempt to its engine: sends the request, parses the events and reports them to the generation.
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

// The call invokes its listener from one thread at a time; cancel() may be called from any thread. The attempt keeps
// the generation alive until the call ends.
class EngineAttempt final : public HttpCallListener, public std::enable_shared_from_this<EngineAttempt> {
public:
    // The stream position is the position in the answer of the stream's first token. It precedes the order's position
    // when the attempt attaches to a running stream.
    EngineAttempt(std::shared_ptr<LiveGeneration>, const AttemptOrder&, std::size_t streamPosition);

    void start(HttpCallGroup&, const SocketAddress&, const HttpRequest&, Milliseconds timeout);
    // Closes the connection, which makes the engine stop its work.
    void cancel();
    // True when the engine has ended the stream itself.
    bool isFinished() const { return m_isFinished; }

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    void handleEvent(EngineEvent);
    void reportFailure(FailureKind);

    const std::shared_ptr<LiveGeneration> m_generation;
    const AttemptNumber m_number;
    const std::size_t m_firstPosition;
    std::size_t m_nextPosition;
    SseParser m_parser;
    // Set when the attempt has failed, finished or been refused; later events are ignored.
    bool m_isOver { false };
    std::atomic<bool> m_isFinished { false };
    const bool m_attaches;
    std::shared_ptr<HttpCall> m_call;
};

} // namespace lupinknot::internal
