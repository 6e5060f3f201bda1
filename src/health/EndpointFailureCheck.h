// Confirms that an engine has failed after the connection of a run at it broke, and then reports the failure to the
// other VMs.
//
// Load pattern: the connections of many VMs are reset at the same moment while all engines are alive. Each VM sees runs
// at several engines break off, as it does when the engines of a zone end together. An engine that answers a probe has
// not failed; one that has ended refuses the connection, or does not answer within the probe's timeout.
//
//     EndpointFailureCheck::start(context, endpoint);
//
// Used on the relay's thread only. Keeps itself alive until the probe has ended.
#pragma once

#include "lupinknot/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lupinknot::internal {

class HttpRoundTrip;
class RelayEndpoint;
struct HttpRoundTripResult;
struct RelayContext;

class EndpointFailureCheck : public std::enable_shared_from_this<EndpointFailureCheck> {
public:
    // The context must outlive the check's io_context.
    static void start(RelayContext&, std::shared_ptr<RelayEndpoint>);

private:
    EndpointFailureCheck(RelayContext&, std::shared_ptr<RelayEndpoint>);
    void handleAnswer(const HttpRoundTripResult&);

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_endpoint;
    const Milliseconds m_startedAt;
    std::shared_ptr<HttpRoundTrip> m_probe;
    // Its pending wait owns this object.
    boost::asio::steady_timer m_lifetime;
};

} // namespace lupinknot::internal
