#include "peer/PeerNetwork.h"

#include "common/Log.h"
#include "common/Version.h"
#include "lupinknot/Clock.h"
#include "peer/generated/Messages.pb.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace lupinknot::internal {

namespace net = boost::asio;
using net::ip::tcp;

PeerNetwork::PeerNetwork(net::io_context& ioContext, const Clock& clock, PeerNetworkSettings settings)
    : m_ioContext(ioContext)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_acceptor(net::make_strand(ioContext))
    , m_heartbeatTimer(ioContext)
{
}

std::optional<std::string> PeerNetwork::start(PeerHandler& handler)
{
    m_handler = &handler;
    boost::system::error_code error;
    const auto address = net::ip::make_address(m_settings.cluster.address, error);
    const tcp::endpoint endpoint(address, static_cast<unsigned short>(m_settings.cluster.port));
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(net::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(net::socket_base::max_listen_connections, error);
    if (error)
        return "cannot listen for peers on " + m_settings.cluster.address + ":"
            + std::to_string(m_settings.cluster.port) + ": " + error.message();
    m_port = m_acceptor.local_endpoint(error).port();
    accept();
    for (const auto& peer : m_settings.peers) {
        if (m_settings.self.vm < peer.name)
            dial(peer);
    }
    scheduleHeartbeat();
    return std::nullopt;
}

void PeerNetwork::stop()
{
    std::vector<std::shared_ptr<PeerConnection>> connections;
    {
        const std::lock_guard lock(m_mutex);
        m_handler = nullptr;
        for (const auto& entry : m_links)
            connections.push_back(entry.second.connection);
    }
    net::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    for (const auto& connection : connections)
        connection->close();
}

bool PeerNetwork::send(const std::string& vm, const wire::Envelope& envelope)
{
    std::shared_ptr<PeerConnection> connection;
    {
        const std::lock_guard lock(m_mutex);
        const auto* link = findUp(vm);
        if (!link)
            return false;
        connection = link->connection;
    }
    connection->send(envelope);
    return true;
}

void PeerNetwork::broadcast(const wire::Envelope& envelope)
{
    for (const auto& peer : up())
        send(peer.vm, envelope);
}

std::optional<PeerIdentity> PeerNetwork::find(const std::string& vm) const
{
    const std::lock_guard lock(m_mutex);
    const auto* link = findUp(vm);
    return link ? link->identity : std::nullopt;
}

std::vector<PeerIdentity> PeerNetwork::up() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<PeerIdentity> peers;
    for (const auto& entry : m_links) {
        if (entry.second.identity)
            peers.push_back(*entry.second.identity);
    }
    return peers;
}

std::uint64_t PeerNetwork::sentBytes() const
{
    const std::lock_guard lock(m_mutex);
    auto bytes = m_closedBytes;
    for (const auto& entry : m_links)
        bytes += entry.second.connection->sentBytes();
    return bytes;
}

void PeerNetwork::messageArrived(const std::shared_ptr<PeerConnection>& connection, const wire::Envelope& envelope)
{
    PeerHandler* handler = nullptr;
    std::optional<PeerIdentity> identity;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(connection.get());
        if (link == m_links.end())
            return;
        link->second.lastHeard = m_clock.now();
        identity = link->second.identity;
        handler = m_handler;
    }
    if (!identity)
        greeted(connection, envelope);
    else if (handler && !envelope.has_heartbeat())
        handler->peerMessage(*identity, envelope);
}

void PeerNetwork::closed(const std::shared_ptr<PeerConnection>& connection)
{
    PeerHandler* handler = nullptr;
    std::optional<PeerIdentity> identity;
    {
        const std::lock_guard lock(m_mutex);
        const auto link = m_links.find(connection.get());
        if (link == m_links.end())
            return;
        identity = link->second.identity;
        m_closedBytes += connection->sentBytes();
        m_links.erase(link);
        handler = m_handler;
    }
    if (!handler)
        return;
    if (identity) {
        logWarning(LogComponent::Membership, "the link to VM " + identity->vm + " is lost.");
        handler->peerDown(*identity);
    }
}

void PeerNetwork::accept()
{
    m_acceptor.async_accept(net::make_strand(m_ioContext),
        [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error == net::error::operation_aborted)
                return;
            if (!error)
                self->adopt(std::move(socket), PeerRole::Acceptor, "");
            self->accept();
        });
}

// Dials for ever: at once when a connection ends, and again after a pause when there is none.
void PeerNetwork::dial(const PeerSettings& peer)
{
    const auto socket = std::make_shared<tcp::socket>(net::make_strand(m_ioContext));
    boost::system::error_code ignored;
    const tcp::endpoint endpoint(net::ip::make_address(peer.address, ignored), static_cast<unsigned short>(peer.port));
    socket->async_connect(endpoint, [self = shared_from_this(), socket, peer](boost::system::error_code error) {
        if (!error)
            self->adopt(std::move(*socket), PeerRole::Dialer, peer.name);
        self->dialLater(peer);
    });
}

void PeerNetwork::dialLater(const PeerSettings& peer)
{
    const auto timer = std::make_shared<net::steady_timer>(m_ioContext, m_settings.cluster.reconnectInterval);
    timer->async_wait([weak = weak_from_this(), timer, peer](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        {
            const std::lock_guard lock(self->m_mutex);
            if (!self->m_handler)
                return;
        }
        if (self->mayDial(peer))
            self->dial(peer);
        else
            self->dialLater(peer);
    });
}

void PeerNetwork::adopt(tcp::socket socket, PeerRole role, const std::string& dialled)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<PeerConnection>(std::move(socket), role, weak_from_this());
    {
        const std::lock_guard lock(m_mutex);
        if (!m_handler)
            return;
        m_links[connection.get()] = { connection, std::nullopt, m_clock.now(), dialled };
    }
    wire::Envelope envelope;
    auto& hello = *envelope.mutable_hello();
    hello.set_cluster(m_settings.cluster.name);
    hello.set_secret(m_settings.cluster.secret);
    hello.set_vm(m_settings.self.vm);
    hello.set_zone(m_settings.self.zone);
    hello.set_incarnation(m_settings.self.incarnation);
    hello.set_release(std::string(version));
    hello.set_caller_address(m_settings.self.callerAddress);
    hello.set_caller_port(m_settings.self.callerPort);
    connection->start();
    connection->send(envelope);
}

// A peer that stands still takes connections and says nothing. One at a time waits for it; the heartbeat ends that one
// when its time is over.
bool PeerNetwork::mayDial(const PeerSettings& peer) const
{
    const std::lock_guard lock(m_mutex);
    const auto isOurs = [&peer](const auto& entry) {
        return entry.second.dialled == peer.name || (entry.second.identity && entry.second.identity->vm == peer.name);
    };
    return std::none_of(m_links.begin(), m_links.end(), isOurs);
}

bool PeerNetwork::isWelcome(const wire::Envelope& envelope) const
{
    if (!envelope.has_hello())
        return false;
    const auto& hello = envelope.hello();
    const auto isNamed = [&hello](const PeerSettings& peer) { return peer.name == hello.vm(); };
    const bool isPeer = std::any_of(m_settings.peers.begin(), m_settings.peers.end(), isNamed);
    return isPeer && hello.cluster() == m_settings.cluster.name && hello.secret() == m_settings.cluster.secret;
}

void PeerNetwork::greeted(const std::shared_ptr<PeerConnection>& connection, const wire::Envelope& envelope)
{
    if (!isWelcome(envelope)) {
        logWarning(
            LogComponent::Membership, "a stranger is refused: another cluster or secret, or a VM that is not a peer.");
        connection->close();
        return;
    }
    const auto& hello = envelope.hello();
    PeerIdentity identity { hello.vm(), hello.zone(), hello.incarnation(), hello.caller_address(), hello.caller_port(),
        0 };
    PeerHandler* handler = nullptr;
    std::shared_ptr<PeerConnection> older;
    {
        const std::lock_guard lock(m_mutex);
        // A VM that comes back before its old connection was seen to end replaces it.
        if (const auto* link = findUp(identity.vm))
            older = link->connection;
        const auto link = m_links.find(connection.get());
        if (link == m_links.end())
            return;
        identity.link = ++m_lastLink;
        link->second.identity = identity;
        handler = m_handler;
    }
    if (older) {
        closed(older);
        older->close();
    }
    logInfo(LogComponent::Membership,
        "the link to VM " + identity.vm + " in zone " + identity.zone + " (release " + hello.release() + ") is up.");
    if (handler)
        handler->peerUp(identity);
}

const PeerNetwork::Link* PeerNetwork::findUp(const std::string& vm) const
{
    for (const auto& entry : m_links) {
        if (entry.second.identity && entry.second.identity->vm == vm)
            return &entry.second;
    }
    return nullptr;
}

void PeerNetwork::scheduleHeartbeat()
{
    m_heartbeatTimer.expires_after(m_settings.cluster.heartbeatInterval);
    m_heartbeatTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->beat();
        self->scheduleHeartbeat();
    });
}

void PeerNetwork::beat()
{
    wire::Envelope envelope;
    envelope.mutable_heartbeat();
    std::vector<std::shared_ptr<PeerConnection>> silent;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& entry : m_links) {
            if (m_clock.now() - entry.second.lastHeard > m_settings.cluster.silenceTimeout)
                silent.push_back(entry.second.connection);
        }
    }
    for (const auto& connection : silent)
        connection->close();
    broadcast(envelope);
}

} // namespace lupinknot::internal
