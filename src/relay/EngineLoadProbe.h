// Probes the load of some engines before one of them is chosen.
//
//     m_loadProbe = EngineLoadProbe::start(context, engines, [this] { choose(); });
//
// The reports are stored with the endpoints. The probe ends when all engines have answered, or when the remaining ones
// take much longer than the others. An engine that does not answer should not be sent a prompt.
//
// Used on the relay's thread only. Owned by the request; no callback is called after its destruction.
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
    // Called once, at the end, with the engines that answered with a valid report.
    using Callback = std::function<void(const Engines& answered)>;

    static std::shared_ptr<EngineLoadProbe> start(RelayContext&, const Engines&, Callback);

private:
    EngineLoadProbe(RelayContext&, Callback);
    void ask(const std::shared_ptr<RelayEndpoint>&);
    void answered(
        const std::shared_ptr<RelayEndpoint>&, const std::shared_ptr<ClientConnection>&, const HttpRoundTripResult&);
    void awaitRemaining();
    void end();

    RelayContext& m_context;
    Callback m_callback;
    const Milliseconds m_startedAt;
    std::vector<std::shared_ptr<HttpRoundTrip>> m_probes;
    Engines m_answered;
    std::size_t m_pending { 0 };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
