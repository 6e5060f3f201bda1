// A plain TCP connection for tests that send malformed or incomplete requests.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>
#include <string>
#include <sys/socket.h>

namespace lupinknot::internal {

// Not thread-safe. All calls block.
class RawConnection {
public:
    explicit RawConnection(unsigned short port)
        : m_socket(m_ioContext)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(text), ignored);
    }

    // Reads until the text has arrived or the peer closes; returns everything received so far.
    std::string readUntil(const std::string& text)
    {
        char piece[4096];
        boost::system::error_code error;
        while (!error && m_received.find(text) == std::string::npos) {
            const auto size = m_socket.read_some(boost::asio::buffer(piece), error);
            m_received.append(piece, size);
        }
        return m_received;
    }

    // Reads until the peer closes the connection.
    std::string readAll() { return readUntil(std::string(1, '\0')); }

    // Forgets what has been received.
    void forgetReceived() { m_received.clear(); }
    // True when bytes or the end of the connection can be read.
    bool hasInput()
    {
        char byte = 0;
        return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
    }

    void close() { m_socket.close(); }

    // Closes the connection with a reset.
    void reset()
    {
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    // From now on the peer's packets are dropped before they are acknowledged, as behind a partition.
    void dropReceivedPackets()
    {
        sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
        const sock_fprog program { 1, &dropAll };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    }

private:
    boost::asio::io_context m_ioContext;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};

} // namespace lupinknot::internal
