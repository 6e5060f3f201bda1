#include "http/ConnectionAdmission.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Connections that are about to be closed while others take their place, as a divisor of the reserved descriptors.
constexpr double closingDivisor = 4;

std::size_t shareOf(std::size_t number, double share)
{
    return static_cast<std::size_t>(static_cast<double>(number) * share);
}

std::size_t closingLimit(const ConnectionBounds& bounds)
{
    return shareOf(bounds.maxDescriptors, bounds.shares.reserved / closingDivisor);
}

} // namespace

std::size_t ConnectionAdmission::count(ConnectionState state) const
{
    return m_byState[static_cast<std::size_t>(state)].size();
}

std::size_t ConnectionAdmission::room(const ConnectionBounds& bounds) const
{
    const auto needed = shareOf(bounds.maxDescriptors, bounds.shares.reserved)
        + std::max(bounds.otherDescriptors, count(ConnectionState::Busy));
    const auto available = bounds.maxDescriptors - std::min(bounds.maxDescriptors, needed);
    return std::min({ available, shareOf(bounds.maxDescriptors, bounds.shares.most), bounds.maxConnections });
}

bool ConnectionAdmission::isFull(const ConnectionBounds& bounds) const
{
    return count() > room(bounds) + closingLimit(bounds);
}

ConnectionAdmission::Decision ConnectionAdmission::admit(Id id, const ConnectionBounds& bounds)
{
    Decision decision { true, std::nullopt };
    if (count() >= room(bounds)) {
        if (count(ConnectionState::Closing) <= closingLimit(bounds))
            decision.displaced = displace();
        decision.isAdmitted = decision.displaced.has_value();
    }
    if (decision.isAdmitted) {
        auto& list = listOf(ConnectionState::New);
        m_connections.emplace(id, Connection { ConnectionState::New, list.insert(list.end(), id) });
    }
    return decision;
}

ConnectionAdmission::Change ConnectionAdmission::changeState(
    Id id, ConnectionState state, const ConnectionBounds& bounds)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.state == state)
        return {};
    auto& connection = found->second;
    const auto wasDisplaced = connection.state == ConnectionState::Closing;
    move(connection, state);
    if (state == ConnectionState::Closing)
        return {};
    const auto isWithoutRoom = state == ConnectionState::Busy && count(state) > room(bounds);
    if (isWithoutRoom || (wasDisplaced && isFull(bounds))) {
        move(connection, ConnectionState::Closing);
        return { true, std::nullopt };
    }
    return { false, displaceIfOver(bounds) };
}

std::optional<ConnectionAdmission::Id> ConnectionAdmission::displaceIfOver(const ConnectionBounds& bounds)
{
    const auto isOver = count() - count(ConnectionState::Closing) > room(bounds);
    return isOver ? displace() : std::nullopt;
}

void ConnectionAdmission::move(Connection& connection, ConnectionState state)
{
    auto& list = listOf(state);
    list.splice(list.end(), listOf(connection.state), connection.position);
    connection.state = state;
}

void ConnectionAdmission::progressed(Id id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.state == ConnectionState::ReceivingBody)
        move(found->second, ConnectionState::ReceivingBody);
}

std::optional<ConnectionAdmission::Id> ConnectionAdmission::displace()
{
    const auto hasMoreBodies = count(ConnectionState::ReceivingBody) >= count(ConnectionState::Resting);
    const auto larger = hasMoreBodies ? ConnectionState::ReceivingBody : ConnectionState::Resting;
    for (const auto state : { ConnectionState::New, ConnectionState::ReceivingHeader, larger }) {
        auto& list = listOf(state);
        if (list.empty())
            continue;
        const auto id = list.front();
        move(m_connections.at(id), ConnectionState::Closing);
        return id;
    }
    return std::nullopt;
}

void ConnectionAdmission::remove(Id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    listOf(found->second.state).erase(found->second.position);
    m_connections.erase(found);
}

} // namespace lupinknot::internal
