// Asks some engines for their load before one of them is chosen.
//
//     m_survey = EngineLoadProbe::start(context, engines, [this] { choose(); });
//
// What they answer is kept with the endpoints. The survey ends when all have answered; an engine that takes much longer
// than the others is not waited for. An engine that does not answer is not the one to send a prompt to.
// Used on the relay's thread only. Owned by the request; no callback follows once it is gone.
#pragma once

#include "lupinknot/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace lupinknot::internal {

class ClientConnection;
class HttpRoundTrip;
struct HttpRoundTripResult;
class RelayEndpoint;
struct RelayContext;

class EngineLoadProbe : public std::enable_shared_from_this<EngineLoadProbe> {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;
    // Called once, at the end, with the engines that have answered with a report that could be read.
    using Callback = std::function<void(const Engines& answered)>;

    static std::shared_ptr<EngineLoadProbe> start(RelayContext&, const Engines&, Callback);

private:
    EngineLoadProbe(RelayContext&, Callback);
    void ask(const std::shared_ptr<RelayEndpoint>&);
    void answered(
        const std::shared_ptr<RelayEndpoint>&, const std::shared_ptr<ClientConnection>&, const HttpRoundTripResult&);
    void awaitRest();
    void end();

    RelayContext& m_context;
    Callback m_callback;
    const Milliseconds m_startedAt;
    std::vector<std::shared_ptr<HttpRoundTrip>> m_questions;
    Engines m_answered;
    std::size_t m_open { 0 };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
