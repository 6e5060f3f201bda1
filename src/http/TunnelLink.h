// Forwards bytes between two connected sockets, both ways, until either side ends.
//
//     auto link = TunnelLink::start(std::move(caller), std::move(target), earlyBytes, [] { ... });
//     link->close();
//
// When one side closes or resets its connection, the other side's is closed or reset too, once what was received before
// has been forwarded. A side that does not read holds the other one up. Used on one thread only. Owned by its pending
// operations.
#pragma once

#include "lupinknot/Clock.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

class TunnelLink : public std::enable_shared_from_this<TunnelLink> {
public:
    // earlyBytes were received from the caller before. onEnd is called once, unless close() was called before.
    static std::shared_ptr<TunnelLink> start(boost::asio::ip::tcp::socket caller, boost::asio::ip::tcp::socket target,
        std::string earlyBytes, std::function<void()> onEnd);

    void close();
    // When bytes were last forwarded, in either direction; of the steady clock.
    std::chrono::steady_clock::time_point lastUsedAt() const { return m_lastUsedAt; }

private:
    // Bytes on their way from one side.
    struct Direction {
        explicit Direction(boost::asio::ip::tcp::socket socket)
            : source(std::move(socket))
        {
        }

        boost::asio::ip::tcp::socket source;
        std::array<char, 4096> piece;
        std::string early;
    };

    TunnelLink(boost::asio::ip::tcp::socket caller, boost::asio::ip::tcp::socket target, std::string earlyBytes,
        std::function<void()> onEnd);
    void read(Direction& from, Direction& to);
    void write(Direction& from, Direction& to, boost::asio::const_buffer);
    void ended(Direction& other, boost::system::error_code);

    Direction m_fromCaller;
    Direction m_fromTarget;
    std::function<void()> m_onEnd;
    std::chrono::steady_clock::time_point m_lastUsedAt;
};

} // namespace lupinknot::internal
