// A free TCP port of the loopback address that stays reserved for a later listener.
//
// The socket is bound but does not listen, so that the system gives the port to nobody else, while a listener that sets
// SO_REUSEADDR can bind it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace lupinknot::internal {

class ReservedPort {
public:
    explicit ReservedPort(boost::asio::io_context& ioContext)
        : m_socket(ioContext, boost::asio::ip::tcp::v4())
    {
        m_socket.set_option(boost::asio::socket_base::reuse_address(true));
        m_socket.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    }

    unsigned short number() const { return m_socket.local_endpoint().port(); }

private:
    boost::asio::ip::tcp::acceptor m_socket;
};

} // namespace lupinknot::internal
