// The connections to all other VMs of the cluster: opens and authenticates them, monitors them with heartbeats, and
// reconnects.
//
// In each pair, the VM whose name sorts first dials. Each side starts with a Hello. A Hello with another cluster,
// another secret or a name that is not among the peers closes the connection.
#pragma once

#include "peer/PeerConnection.h"
#include "peer/PeerHandler.h"
#include "peer/PeerSettings.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

// The identity of this VM, and the peers it may connect to.
struct PeerNetworkSettings {
    ClusterSettings cluster;
    std::vector<PeerSettings> peers;
    PeerIdentity self;
};

// Thread-safe: one lock guards the state; the handler is called without holding it.
class PeerNetwork final : public PeerConnectionOwner, public std::enable_shared_from_this<PeerNetwork> {
public:
    // The io_context and the clock must outlive the network.
    PeerNetwork(boost::asio::io_context&, const Clock&, PeerNetworkSettings);

    // Binds and dials. The handler must outlive stop(). Returns an error message, or nullopt on success.
    std::optional<std::string> start(PeerHandler&);
    // Closes all connections. The handler is no longer called.
    void stop();
    unsigned short port() const { return m_port; }

    // Sends to a connected VM. Returns false if the VM is not connected. An accepted message can still be lost when the
    // connection fails.
    bool send(const std::string& vm, const wire::Envelope&);
    void broadcast(const wire::Envelope&);
    std::optional<PeerIdentity> find(const std::string& vm) const;
    std::vector<PeerIdentity> up() const;
    // Bytes sent to all peers so far, including on closed connections.
    std::uint64_t sentBytes() const;

    void messageArrived(const std::shared_ptr<PeerConnection>&, const wire::Envelope&) override;
    void closed(const std::shared_ptr<PeerConnection>&) override;

private:
    struct Link {
        std::shared_ptr<PeerConnection> connection;
        // Set by the peer's Hello.
        std::optional<PeerIdentity> identity;
        Milliseconds lastReceivedAt { 0 };
        // Name of the dialled peer; empty for an accepted link.
        std::string dialled;
    };

    void accept();
    void dial(const PeerSettings&);
    void dialLater(const PeerSettings&);
    void addLink(boost::asio::ip::tcp::socket, PeerRole, const std::string& dialled);
    bool isAcceptableHello(const wire::Envelope&) const;
    void handleHello(const std::shared_ptr<PeerConnection>&, const wire::Envelope&);
    const Link* findConnected(const std::string& vm) const;
    bool mayDial(const PeerSettings&) const;
    void scheduleHeartbeat();
    void closeSilentLinksAndSendHeartbeat();

    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    const PeerNetworkSettings m_settings;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_heartbeatTimer;
    unsigned short m_port { 0 };
    mutable std::mutex m_mutex;
    // The following members are guarded by m_mutex.
    PeerHandler* m_handler { nullptr };
    std::map<PeerConnection*, Link> m_links;
    std::uint64_t m_closedBytes { 0 };
    std::uint64_t m_lastLink { 0 };
};

} // namespace lupinknot::internal
