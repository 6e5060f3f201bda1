// One short call to an engine beside its streams, with a time limit and its own connection.
//
//     auto question = EngineQuestion::ask(context, endpoint, request, limit, [](const HttpResponse* answer) { ... });
//
// The callback gets the whole answer, or null when none came in time. It is called at most once, and not after the
// question has gone. Used on the relay's thread only. Owned by its user.
#pragma once

#include "http/ClientConnection.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class RelayEndpoint;
struct RelayContext;

class EngineQuestion final : public ClientConnectionListener, public std::enable_shared_from_this<EngineQuestion> {
public:
    using Callback = std::function<void(const HttpResponse* answer)>;

    static std::shared_ptr<EngineQuestion> ask(
        RelayContext&, const std::shared_ptr<RelayEndpoint>&, const HttpRequest&, Milliseconds limit, Callback);
    ~EngineQuestion() override;
    EngineQuestion(const EngineQuestion&) = delete;
    EngineQuestion& operator=(const EngineQuestion&) = delete;

    void answerHead(const HttpResponse&) override;
    void answerBody(std::string_view) override;
    bool answerEnd() override;
    void connectionFailed(ClientFailure) override { settle(nullptr); }

private:
    EngineQuestion(RelayContext&, std::shared_ptr<RelayEndpoint>, Callback);
    void settle(const HttpResponse*);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    Callback m_callback;
    std::shared_ptr<ClientConnection> m_connection;
    HttpResponse m_answer;
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
