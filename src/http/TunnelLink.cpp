#include "http/TunnelLink.h"

#include "http/SocketLiveness.h"

#include <boost/asio/write.hpp>

namespace lupinknot::internal {

namespace net = boost::asio;

namespace {

// A VM that gets no events for some 250 ms continues its streams elsewhere, and what it sends to end the earlier runs
// may not arrive. The kernel counts this time from its second retransmission, some 400 ms after the first
// unacknowledged byte.
constexpr Milliseconds mostTimeUnacknowledged { 150 };

TunnelEnd endOf(bool isCaller, boost::system::error_code error)
{
    if (error == net::error::eof)
        return isCaller ? TunnelEnd::CallerClosed : TunnelEnd::TargetClosed;
    if (error == net::error::timed_out || error == net::error::host_unreachable)
        return isCaller ? TunnelEnd::CallerUnreachable : TunnelEnd::TargetUnreachable;
    return isCaller ? TunnelEnd::CallerReset : TunnelEnd::TargetReset;
}

} // namespace

std::shared_ptr<TunnelLink> TunnelLink::start(
    net::ip::tcp::socket caller, net::ip::tcp::socket target, std::string earlyBytes, EndCallback onEnd)
{
    std::shared_ptr<TunnelLink> link(
        new TunnelLink(std::move(caller), std::move(target), std::move(earlyBytes), std::move(onEnd)));
    if (link->m_fromCaller.early.empty())
        link->read(link->m_fromCaller, link->m_fromTarget);
    else
        link->write(link->m_fromCaller, link->m_fromTarget, net::buffer(link->m_fromCaller.early));
    link->read(link->m_fromTarget, link->m_fromCaller);
    return link;
}

TunnelLink::TunnelLink(
    net::ip::tcp::socket caller, net::ip::tcp::socket target, std::string earlyBytes, EndCallback onEnd)
    : m_fromCaller(std::move(caller))
    , m_fromTarget(std::move(target))
    , m_onEnd(std::move(onEnd))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_lastUsedAt(m_startedAt)
{
    m_fromCaller.early = std::move(earlyBytes);
    for (auto* const direction : { &m_fromCaller, &m_fromTarget }) {
        boost::system::error_code ignored;
        direction->source.set_option(net::ip::tcp::no_delay(true), ignored);
        applyLiveness(direction->source, {});
    }
    limitUnacknowledgedTime(m_fromCaller.source, mostTimeUnacknowledged);
}

void TunnelLink::read(Direction& from, Direction& to)
{
    from.source.async_read_some(net::buffer(from.piece),
        [this, self = shared_from_this(), &from, &to](boost::system::error_code error, std::size_t size) {
            if (error)
                ended(to, error);
            else
                write(from, to, net::buffer(from.piece, size));
        });
}

void TunnelLink::write(Direction& from, Direction& to, net::const_buffer bytes)
{
    m_lastUsedAt = std::chrono::steady_clock::now();
    m_isAnswerDue = &from == &m_fromCaller;
    net::async_write(
        to.source, bytes, [this, self = shared_from_this(), &from, &to](boost::system::error_code error, std::size_t) {
            if (error)
                ended(from, error);
            else
                read(from, to);
        });
}

void TunnelLink::ended(Direction& other, boost::system::error_code error)
{
    if (error == net::error::operation_aborted)
        return;
    boost::system::error_code ignored;
    if (error != net::error::eof)
        other.source.set_option(net::socket_base::linger(true, 0), ignored);
    const auto onEnd = std::exchange(m_onEnd, nullptr);
    close();
    if (onEnd)
        onEnd(endOf(&other == &m_fromTarget, error));
}

void TunnelLink::close()
{
    m_onEnd = nullptr;
    for (auto* const direction : { &m_fromCaller, &m_fromTarget }) {
        boost::system::error_code ignored;
        direction->source.close(ignored);
    }
}

} // namespace lupinknot::internal
