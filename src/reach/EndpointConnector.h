// Provides the path of each connection to an endpoint: direct, or through other VMs while this VM is partitioned from
// all endpoints.
//
// Load pattern: see EndpointReachability and VmChoice. Whatever connects to an endpoint (requests, probes, copies,
// moves) gets its path here, so that all of it works behind a partition.
//
//     connector.setEndpoints({ count, sample });
//     connector.setVms(others);
//     auto path = connector.pathTo(endpointId);          // For ClientConnection.
//
// Used on the relay's thread only. Lives for the process; paths may outlive it.
#pragma once

#include "http/ConnectionPath.h"
#include "reach/ConnectCheck.h"
#include "reach/EndpointReachability.h"
#include "reach/VmChoice.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

class ClientConnection;
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
    struct Settings {
        std::string ownZone;
        // Timeout of a direct connection, and of one through another VM, which includes that VM's direct connection.
        Milliseconds directTimeout { 80 };
        Milliseconds vmTimeout { 120 };
    };

    EndpointConnector(boost::asio::io_context&, const Clock&, Settings, RelayMetrics&);
    ~EndpointConnector();
    EndpointConnector(const EndpointConnector&) = delete;
    EndpointConnector& operator=(const EndpointConnector&) = delete;

    // Sets the source of endpoints for checks.
    void setEndpoints(KnownEndpoints);
    // Sets the other VMs.
    void setVms(const std::vector<PeerVm>&);
    // Sets the function to call when a partition of this VM begins or ends.
    void onPartitionChange(std::function<void()>);
    // Calls back if this VM reaches endpoints, at once or after it has connected to some of them; never if it does not.
    void ifReachable(std::function<void()>);

    std::unique_ptr<ConnectionPath> pathTo(const std::string& endpointId);
    // A path without other VMs, for connections that this VM makes for others.
    std::unique_ptr<ConnectionPath> directPathTo(const std::string& endpointId);
    Reachability reachability() const;
    bool isPartitioned() const { return reachability() == Reachability::Partitioned; }
    // Whether a kept connection should carry further requests: direct ones may hang behind a partition, and those
    // through other VMs cost more than direct ones.
    bool mayReuse(const ClientConnection&) const;
    // A kept connection to the endpoint may hang because of a partition: connects to the endpoint to find out.
    void checkEndpoint(const CheckedEndpoint&);

private:
    class Path;
    struct State;

    const std::shared_ptr<State> m_state;
};

} // namespace lupinknot::internal
