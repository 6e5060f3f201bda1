// Asks an engine once whether it lives.
//
// Used on the relay's thread only. Owned by its user; no answer follows once it is gone.
#pragma once

#include "http/ClientConnection.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class RelayEndpoint;
struct RelayContext;

class EngineProbe final : public ClientConnectionListener, public std::enable_shared_from_this<EngineProbe> {
public:
    using Answer = std::function<void(bool isAlive)>;

    static std::shared_ptr<EngineProbe> start(RelayContext&, const std::shared_ptr<RelayEndpoint>&, Answer);
    ~EngineProbe() override;
    EngineProbe(const EngineProbe&) = delete;
    EngineProbe& operator=(const EngineProbe&) = delete;

    void answerHead(const HttpResponse&) override;
    void answerBody(std::string_view) override { }
    bool answerEnd() override { return false; }
    void connectionFailed(ClientFailure) override { settle(false); }

private:
    EngineProbe(RelayContext&, std::shared_ptr<RelayEndpoint>, Answer);
    void settle(bool isAlive);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    Answer m_answer;
    std::shared_ptr<ClientConnection> m_connection;
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
