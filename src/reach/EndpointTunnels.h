// Connects other VMs to endpoints that they do not reach themselves (HTTP CONNECT).
//
// Load pattern: while VMs are partitioned from all endpoints, the others carry their connections too; where most VMs
// are partitioned, few carry those of all. A VM that is partitioned itself, is stopping or carries as many tunnels as
// it may rejects the request at once, so that the other VM tries the next one. It never passes the request on, so that
// no connection runs in a circle.
//
//     tunnels.handle(exchange);        // 200 and the tunnel, 502 (endpoint unreachable) or 503.
//
// Only endpoints that this VM knows can be reached. Used on the relay's thread only. Lives for the process.
#pragma once

#include "lupinknot/Clock.h"
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <string>

namespace lupinknot::internal {

class EndpointConnector;
class EndpointDirectory;
class HttpExchange;
class RelayMetrics;
class TunnelLink;

class EndpointTunnels {
public:
    // Each tunnel takes two descriptors and 8 KB.
    static constexpr std::size_t maxTunnels = 512;
    // A tunnel that forwarded bytes within this time may carry a request in progress, as may one whose last bytes came
    // from the other VM.
    static constexpr Milliseconds busyFor { 1000 };

    EndpointTunnels(boost::asio::io_context&, EndpointConnector&, const EndpointDirectory&, RelayMetrics&,
        std::size_t limit = maxTunnels);
    ~EndpointTunnels();
    EndpointTunnels(const EndpointTunnels&) = delete;
    EndpointTunnels& operator=(const EndpointTunnels&) = delete;

    void handle(const std::shared_ptr<HttpExchange>&);
    // From now on new tunnels are rejected.
    void stop() { m_isStopping = true; }
    std::size_t count() const { return m_links.size() + m_pending; }
    std::size_t busyCount() const;
    // Closes the tunnels that are not busy, so that no request is sent through them any more.
    void closeIdle();

private:
    struct Opening;
    // The configured limit, or less if the process may have few descriptors.
    std::size_t limit() const;
    using Links = std::list<std::shared_ptr<TunnelLink>>;

    static bool isBusy(const TunnelLink&);
    void reject(const std::shared_ptr<HttpExchange>&, unsigned status, std::string_view reason);
    void opened(const std::shared_ptr<Opening>&);

    boost::asio::io_context& m_ioContext;
    EndpointConnector& m_connector;
    const EndpointDirectory& m_directory;
    RelayMetrics& m_metrics;
    const std::size_t m_limit;
    bool m_isStopping { false };
    std::size_t m_pending { 0 };
    Links m_links;
    // Cleared when this object is destroyed; held weakly by pending operations.
    std::shared_ptr<EndpointTunnels*> m_self;
};

} // namespace lupinknot::internal
