// Provides the path of each connection to an endpoint, and finds out whether this VM reaches endpoints at all.
//
//     connector.setEndpoints({ count, sample });
//     auto path = connector.pathTo(endpointId);          // For ClientConnection.
//
// Used on the relay's thread only. Lives for the process; paths may outlive it.
#pragma once

#include "http/ConnectionPath.h"
#include "reach/ConnectCheck.h"
#include "reach/EndpointReachability.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class RelayMetrics;

// An endpoint that a check may connect to.
struct CheckedEndpoint {
    std::string id;
    SocketAddress address;
    std::string availabilityZone;
};

// The endpoints that this VM knows.
struct KnownEndpoints {
    std::function<std::size_t()> count;
    // A random endpoint of each service and zone.
    std::function<std::vector<CheckedEndpoint>()> sample;
};

class EndpointConnector {
public:
    EndpointConnector(boost::asio::io_context&, const Clock&, Milliseconds connectTimeout, RelayMetrics&);
    ~EndpointConnector();
    EndpointConnector(const EndpointConnector&) = delete;
    EndpointConnector& operator=(const EndpointConnector&) = delete;

    // Sets the source of endpoints for checks.
    void setEndpoints(KnownEndpoints);

    std::unique_ptr<ConnectionPath> pathTo(const std::string& endpointId);
    Reachability reachability() const;

private:
    class Path;
    struct State;

    const std::shared_ptr<State> m_state;
};

} // namespace lupinknot::internal
