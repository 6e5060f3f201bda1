// A request sent to one endpoint, and the response to it.
//
// Only a response that names the request is used; any other is skipped and shows nothing about the endpoint. An
// endpoint may send a duplicate response, which then arrives in place of the response to the next request on the
// connection, or bytes that belong to no request. For the same reason a connection carries each request only once.
//
//     auto call = EndpointCall::start(context, endpoint, request, options, listener);
//     ...                                  // listener->callHeader(), callBody(), then callEnded() or callFailed()
//     call->cancel();                      // Closes the connection, which makes the endpoint stop its work.
//
// Used on the relay's thread only. Owned by its user; holds the listener weakly.
#pragma once

#include "admission/AnswerMemory.h"
#include "http/ClientConnection.h"
#include "lupinknot/FailureKind.h"
#include "relay/AnswerAttribution.h"
#include "relay/CallProtocol.h"
#include "relay/RelayEndpoint.h"
#include <memory>
#include <vector>

namespace lupinknot::internal {

class EndpointCall;
struct RelayContext;

class EndpointCallListener {
public:
    virtual ~EndpointCallListener() = default;
    virtual void callHeader(EndpointCall&, const HttpResponse& head, const AnswerFields&) = 0;
    virtual void callBody(EndpointCall&, std::string_view piece) = 0;
    virtual void callEnded(EndpointCall&) = 0;
    // The endpoint may have run the request unless the kind of failure proves that it did not start it.
    virtual void callFailed(EndpointCall&, FailureKind) = 0;
};

struct EndpointCallOptions {
    std::string requestId;
    // Longest idle time of a kept-alive connection that may carry the call; zero opens a new connection.
    Milliseconds maxIdleTime { 0 };
    // If no response begins within this time on a kept connection, the endpoint is checked for reachability; zero:
    // never.
    Milliseconds checkAfter { 0 };
    // Numbers of the connections that have carried earlier deliveries of the request. The call uses none of them.
    std::vector<std::uint64_t> earlierConnections {};
};

class EndpointCall final : public ClientConnectionListener, public std::enable_shared_from_this<EndpointCall> {
public:
    static std::shared_ptr<EndpointCall> start(RelayContext&, std::shared_ptr<RelayEndpoint>, const HttpRequest&,
        EndpointCallOptions, std::weak_ptr<EndpointCallListener>);
    ~EndpointCall() override;
    EndpointCall(const EndpointCall&) = delete;
    EndpointCall& operator=(const EndpointCall&) = delete;

    const std::shared_ptr<RelayEndpoint>& endpoint() const { return m_endpoint; }
    Milliseconds startedAt() const { return m_startedAt; }
    // True once a byte of the request may have been sent.
    bool hasSent() const { return m_isOver ? m_hadSent : m_connection->hasSent(); }
    bool isOver() const { return m_isOver; }
    // True if the connection was made by another VM.
    bool isThroughVm() const { return m_connection->isThroughVm(); }
    // True if the connection may hang because this VM is partitioned from all endpoints.
    bool mayHang() const { return m_endpoint->mayHang(*m_connection); }
    // True if the endpoint refused the connection.
    bool isRefused() const { return m_connection->isRefused(); }
    std::uint64_t connectionNumber() const { return m_connection->number(); }
    // Closes the connection. No callback follows.
    void cancel();
    // Closes the connection; the call fails as one whose answer is malformed.
    void giveUp();

    void responseHeaderReceived(const HttpResponse&) override;
    void responseBodyReceived(std::string_view) override;
    void responseBytesHeld(std::size_t) override;
    bool responseEnded() override;
    void connectionFailed(ClientFailure) override;

private:
    EndpointCall(
        RelayContext&, std::shared_ptr<RelayEndpoint>, EndpointCallOptions, std::weak_ptr<EndpointCallListener>);
    void end();
    void armCheck();
    AnswerAttribution attributionOfAnswer(const AnswerFields&) const;
    void noteDoubtfulAnswer(const HttpResponse&, const AnswerFields&, AnswerAttribution) const;

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    const EndpointCallOptions m_options;
    const std::weak_ptr<EndpointCallListener> m_listener;
    const Milliseconds m_startedAt;
    std::shared_ptr<ClientConnection> m_connection;
    boost::asio::steady_timer m_checkTimer;
    // What the connection holds of the response; null while it is little.
    std::unique_ptr<AnswerMemory::Holding> m_held;
    // The response comes from the endpoint's incarnation.
    bool m_isFromEndpoint { false };
    bool m_isSkipping { false };
    unsigned m_skippedAnswers { 0 };
    std::size_t m_skippedBytes { 0 };
    bool m_isOver { false };
    bool m_hadSent { false };
};

} // namespace lupinknot::internal
