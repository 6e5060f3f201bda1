// Checks whether at least one of several addresses accepts a TCP connection. Nothing is sent.
//
//     m_check = ConnectCheck::start(ioContext, addresses, timeout, [](bool hasConnected) { ... });
//
// The callback is called once, unless this object is destroyed first. Used on the relay's thread only.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace lupinknot::internal {

class ConnectCheck : public std::enable_shared_from_this<ConnectCheck> {
public:
    using Callback = std::function<void(bool hasConnected)>;

    static std::shared_ptr<ConnectCheck> start(
        boost::asio::io_context&, const std::vector<SocketAddress>&, Milliseconds timeout, Callback);

private:
    ConnectCheck(boost::asio::io_context&, Callback);
    void connect(const SocketAddress&);
    void finish(bool hasConnected);

    boost::asio::io_context& m_ioContext;
    Callback m_callback;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::size_t m_pending { 0 };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
