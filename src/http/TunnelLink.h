// Forwards bytes between two connected sockets, both ways, until either side ends.
//
//     auto link = TunnelLink::start(std::move(caller), std::move(target), earlyBytes, [](TunnelEnd end) { ... });
//     link->close();
//
// When one side closes or resets its connection, the other side's is closed or reset too, once what was received before
// has been forwarded. A side that does not read holds the other one up. Used on one thread only. Owned by its pending
// operations.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

// Which side ended a tunnel, and how.
enum class TunnelEnd {
    CallerClosed,
    CallerReset,
    CallerUnreachable,
    TargetClosed,
    TargetReset,
    TargetUnreachable,
};

inline constexpr std::array<EnumName<TunnelEnd>, 6> tunnelEndNames { {
    { TunnelEnd::CallerClosed, "caller-closed" },
    { TunnelEnd::CallerReset, "caller-reset" },
    { TunnelEnd::CallerUnreachable, "caller-unreachable" },
    { TunnelEnd::TargetClosed, "target-closed" },
    { TunnelEnd::TargetReset, "target-reset" },
    { TunnelEnd::TargetUnreachable, "target-unreachable" },
} };

class TunnelLink : public std::enable_shared_from_this<TunnelLink> {
public:
    using EndCallback = std::function<void(TunnelEnd)>;

    // earlyBytes were received from the caller before. onEnd is called once, unless close() was called before.
    static std::shared_ptr<TunnelLink> start(boost::asio::ip::tcp::socket caller, boost::asio::ip::tcp::socket target,
        std::string earlyBytes, EndCallback onEnd);

    void close();
    // When bytes were last forwarded, in either direction; of the steady clock.
    std::chrono::steady_clock::time_point lastUsedAt() const { return m_lastUsedAt; }
    // True if the last bytes came from the caller: a request may await its answer, however long that takes.
    bool isAnswerDue() const { return m_isAnswerDue; }
    std::chrono::steady_clock::time_point startedAt() const { return m_startedAt; }

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
        EndCallback onEnd);
    void read(Direction& from, Direction& to);
    void write(Direction& from, Direction& to, boost::asio::const_buffer);
    void ended(Direction& other, boost::system::error_code);

    Direction m_fromCaller;
    Direction m_fromTarget;
    EndCallback m_onEnd;
    const std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_lastUsedAt;
    bool m_isAnswerDue { false };
};

} // namespace lupinknot::internal
