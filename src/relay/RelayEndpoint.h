// One endpoint as this VM knows it: its entry, what this VM has under way there, and what its answers have shown.
//
// Lives from its first entry until its last call, in the process. Used on the relay's thread only.
#pragma once

#include "http/ClientConnection.h"
#include "relay/EndpointEntry.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace lupinknot::internal {

class RelayEndpoint {
public:
    RelayEndpoint(boost::asio::io_context&, EndpointEntry, const ClientConnectionSettings&);
    ~RelayEndpoint();
    RelayEndpoint(const RelayEndpoint&) = delete;
    RelayEndpoint& operator=(const RelayEndpoint&) = delete;

    const EndpointEntry& entry() const { return m_entry; }
    void updateEntry(EndpointEntry entry) { m_entry = std::move(entry); }

    // A kept connection that has rested no longer than allowed, the one used last, or a new one.
    std::shared_ptr<ClientConnection> takeConnection(Milliseconds now, Milliseconds maxRest, Milliseconds margin);
    std::shared_ptr<ClientConnection> openConnection();
    // Keeps a connection if it can carry another request.
    void giveBack(const std::shared_ptr<ClientConnection>&, Milliseconds now);
    void closeKeptConnections();

    unsigned inFlight() const { return m_inFlight; }
    void callStarted() { ++m_inFlight; }
    void callEnded() { --m_inFlight; }

    // Leaving endpoints get no new work while any other one is left.
    bool isLeaving() const { return m_entry.isDraining || m_removedAt.has_value(); }
    std::optional<Milliseconds> removedAt() const { return m_removedAt; }
    void setRemoved(Milliseconds now) { m_removedAt = m_removedAt.value_or(now); }
    void setListed() { m_removedAt.reset(); }

    void avoidUntil(Milliseconds instant) { m_avoidUntil = std::max(m_avoidUntil, instant); }
    bool isAvoided(Milliseconds now) const { return now < m_avoidUntil; }
    // An answer or event came: the endpoint lives.
    void noteLife(Milliseconds now);
    Milliseconds lastLife() const { return m_lastLife; }

private:
    struct KeptConnection {
        std::shared_ptr<ClientConnection> connection;
        Milliseconds since;
    };

    boost::asio::io_context& m_ioContext;
    EndpointEntry m_entry;
    const ClientConnectionSettings m_connectionSettings;
    std::deque<KeptConnection> m_kept;
    unsigned m_inFlight { 0 };
    std::optional<Milliseconds> m_removedAt;
    Milliseconds m_avoidUntil { 0 };
    Milliseconds m_lastLife { 0 };
};

} // namespace lupinknot::internal
