// Requests a permit to send one request to an endpoint under a rate limit, and waits for its slot, the time at
// which the request may be sent.
//
//     m_permit = PermitWait::start(context, endpoint, maxWait, [this](bool isGranted) { ... });
//
// When the permit is denied, Placement skips the endpoint until another request for a permit may succeed.
// Used on the relay's thread only. Owned by the request; no callback follows its destruction.
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

    // maxWait: the longest time that the request can wait for its slot.
    static std::shared_ptr<PermitWait> start(
        RelayContext&, std::shared_ptr<RelayEndpoint>, Milliseconds maxWait, Callback);

private:
    PermitWait(RelayContext&, std::shared_ptr<RelayEndpoint>, Callback);
    void handleAnswer(const PermitAnswer&);
    void slotReached();
    void finish(bool isGranted);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    // What was asked for.
    PermitRequest m_request;
    Callback m_callback;
    // The limit, in requests per second, under which the permit was granted.
    std::optional<double> m_grantedPerSecond;
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
