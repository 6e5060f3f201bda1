// Decides which connections a server keeps while descriptors are short.
//
// Load pattern: callers open connections and send nothing, send part of a header or of a body, or rest after a request,
// until the process has no descriptors left for its own connections, without which it serves nobody. A busy connection
// usually needs a second descriptor, for the connection to an endpoint.
//
// A new connection is admitted in place of another one. New connections give way first, because they were promised
// nothing, then incomplete headers, which can be refused truthfully; in each state the one that has been in it for
// longest. Then either an incomplete body or a resting connection gives way, whichever are more numerous, because a
// crowd that holds connections is in the larger group: the body that has made no progress for longest, or the
// connection that has rested for longest. A busy connection is never closed. If all connections are busy, the new one
// is refused.
//
// A displaced connection may turn out to have received a request. That request is served while there is room for it,
// and another connection is displaced. Otherwise it is refused, as is a request for which there is no second
// descriptor.
//
//     const auto decision = admission.admit(id, bounds);
//     if (decision.displaced) ...                           // Close this one.
//
// Does no I/O. Not thread-safe.
#pragma once

#include "http/ConnectionState.h"
#include "http/DescriptorShares.h"
#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace lupinknot::internal {

struct ConnectionBounds {
    // Limit of the server's settings.
    std::size_t maxConnections { 0 };
    // Limit of the process.
    std::size_t maxDescriptors { 0 };
    // Open descriptors of the process that are not connections of this server.
    std::size_t otherDescriptors { 0 };
    DescriptorShares shares {};
};

class ConnectionAdmission {
public:
    // Identifies a connection.
    using Id = const void*;

    struct Decision {
        bool isAdmitted { false };
        // The connection to close.
        std::optional<Id> displaced {};
    };

    // An admitted connection is new.
    Decision admit(Id, const ConnectionBounds&);
    struct Change {
        // The request of this connection must be refused.
        bool isRefused { false };
        // The connection to close.
        std::optional<Id> displaced {};
    };

    Change changeState(Id, ConnectionState, const ConnectionBounds&);
    // More of the body has arrived on this connection.
    void progressed(Id);
    // Returns the connection to close because a descriptor is needed now, and none if all are busy.
    std::optional<Id> displace();
    // The same if there are more connections than there is room for.
    std::optional<Id> displaceIfOver(const ConnectionBounds&);
    void remove(Id);
    std::size_t count() const { return m_connections.size(); }
    std::size_t count(ConnectionState) const;
    // Number of connections that there may be while as many of them are busy as now.
    std::size_t room(const ConnectionBounds&) const;

private:
    struct Connection {
        ConnectionState state;
        std::list<Id>::iterator position;
    };

    // True while there are more connections than a few that are about to be closed explain.
    bool isFull(const ConnectionBounds&) const;
    void move(Connection&, ConnectionState);
    std::list<Id>& listOf(ConnectionState state) { return m_byState[static_cast<std::size_t>(state)]; }

    std::unordered_map<Id, Connection> m_connections;
    // The connections in each state, the ones that have been in it, or without progress, for longest first.
    std::array<std::list<Id>, connectionStateNames.size()> m_byState;
};

} // namespace lupinknot::internal
