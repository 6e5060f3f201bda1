// Asks for a permit to send one request to an endpoint under a limit, and waits for its place.
//
//     m_permit = PermitWait::start(context, endpoint, patience, [this](bool isGranted) { ... });
//
// Without a permit the endpoint is left out by Placement until asking again may help.
// Used on the relay's thread only. Owned by the request; no callback follows once it is gone.
#pragma once

#include "limits/PermitSource.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class RelayEndpoint;
struct RelayContext;

class PermitWait : public std::enable_shared_from_this<PermitWait> {
public:
    using Callback = std::function<void(bool isGranted)>;

    // The patience is how long the request can wait for its place.
    static std::shared_ptr<PermitWait> start(
        RelayContext&, std::shared_ptr<RelayEndpoint>, Milliseconds patience, Callback);

private:
    PermitWait(RelayContext&, std::shared_ptr<RelayEndpoint>, Callback);
    void answered(const PermitAnswer&);
    void placeCame();
    void settle(bool isGranted);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    Callback m_callback;
    // The limit under which the permit was given.
    std::optional<double> m_perSecond;
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
