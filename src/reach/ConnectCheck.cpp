#include "reach/ConnectCheck.h"

#include <utility>

namespace lupinknot::internal {

namespace net = boost::asio;

std::shared_ptr<ConnectCheck> ConnectCheck::start(
    net::io_context& ioContext, const std::vector<SocketAddress>& addresses, Milliseconds timeout, Callback callback)
{
    std::shared_ptr<ConnectCheck> check(new ConnectCheck(ioContext, std::move(callback)));
    check->m_pending = addresses.size();
    for (const auto& address : addresses)
        check->connect(address);
    check->m_timer.expires_after(timeout);
    check->m_timer.async_wait([weak = check->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->finish(false);
    });
    return check;
}

ConnectCheck::ConnectCheck(net::io_context& ioContext, Callback callback)
    : m_ioContext(ioContext)
    , m_callback(std::move(callback))
    , m_timer(ioContext)
{
}

void ConnectCheck::connect(const SocketAddress& address)
{
    auto& socket = *m_sockets.emplace_back(std::make_unique<net::ip::tcp::socket>(m_ioContext));
    boost::system::error_code invalid;
    const net::ip::tcp::endpoint endpoint(
        net::ip::make_address(address.host, invalid), static_cast<unsigned short>(address.port));
    socket.async_connect(endpoint, [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self)
            return;
        --self->m_pending;
        if (!error || self->m_pending == 0)
            self->finish(!error);
    });
}

void ConnectCheck::finish(bool hasConnected)
{
    const auto self = shared_from_this();
    m_timer.cancel();
    for (const auto& socket : m_sockets) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(hasConnected);
}

} // namespace lupinknot::internal
