// The connections to all other VMs of the cluster: dialled, checked, kept alive by heartbeats, and dialled again.
//
// Of each pair the VM with the smaller name dials. Each side begins with a Hello; one that does not fit (another
// cluster, another secret, a name that is not among the peers) closes the connection.
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

// What this VM says of itself, and whom it knows.
struct PeerNetworkSettings {
    ClusterSettings cluster;
    std::vector<PeerSettings> peers;
    PeerIdentity self;
};

// Thread-safe, under one lock; the handler is called without it.
class PeerNetwork final : public PeerConnectionOwner, public std::enable_shared_from_this<PeerNetwork> {
public:
    // The io_context and the clock must outlive the network.
    PeerNetwork(boost::asio::io_context&, const Clock&, PeerNetworkSettings);

    // Binds and dials. The handler must outlive stop(). Returns what went wrong, or nothing.
    std::optional<std::string> start(PeerHandler&);
    // Closes all connections; the handler is not called any more.
    void stop();
    unsigned short port() const { return m_port; }

    // Sends to a VM that is up. Returns false when it is not; a message that was taken can still be lost with its
    // connection.
    bool send(const std::string& vm, const wire::Envelope&);
    void broadcast(const wire::Envelope&);
    std::optional<PeerIdentity> find(const std::string& vm) const;
    std::vector<PeerIdentity> up() const;
    // Bytes sent to all peers so far.
    std::uint64_t sentBytes() const;

    void messageArrived(const std::shared_ptr<PeerConnection>&, const wire::Envelope&) override;
    void closed(const std::shared_ptr<PeerConnection>&) override;

private:
    struct Link {
        std::shared_ptr<PeerConnection> connection;
        // Set by the peer's Hello.
        std::optional<PeerIdentity> identity;
        Milliseconds lastHeard { 0 };
        // The peer that was dialled; empty for a link that was accepted.
        std::string dialled;
    };

    void accept();
    void dial(const PeerSettings&);
    void dialLater(const PeerSettings&);
    void adopt(boost::asio::ip::tcp::socket, PeerRole, const std::string& dialled);
    bool isWelcome(const wire::Envelope&) const;
    void greeted(const std::shared_ptr<PeerConnection>&, const wire::Envelope&);
    const Link* findUp(const std::string& vm) const;
    bool mayDial(const PeerSettings&) const;
    void scheduleHeartbeat();
    void beat();

    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    const PeerNetworkSettings m_settings;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_heartbeatTimer;
    unsigned short m_port { 0 };
    mutable std::mutex m_mutex;
    // All that follows is under the lock.
    PeerHandler* m_handler { nullptr };
    std::map<PeerConnection*, Link> m_links;
    std::uint64_t m_closedBytes { 0 };
    std::uint64_t m_lastLink { 0 };
};

} // namespace lupinknot::internal
