// One outgoing HTTP/1.1 connection that never sends a request twice.
//
// cpprestsdk's client sends a request again by itself when a pooled connection turns out to be closed; the first
// sending may have run by then. This connection reports the failure instead and leaves the decision to its owner:
//
//     auto connection = ClientConnection::open(ioContext, address, settings);
//     connection->send(request, listener);     // Connects first if it has to.
//     ...                                      // listener->responseHeaderReceived(), responseBodyReceived(),
//     responseEnded() if (connection->isIdle()) ...            // May carry the next request.
//
// An idle connection keeps reading: bytes that nobody asked for, or the peer's close, end it.
// Not thread-safe: all calls and callbacks are made on the one thread that runs the io_context. Owned by its user and
// by its pending operations.
#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lupinknot::internal {

enum class ClientFailure {
    NotConnected, // No connection came about: nothing was sent.
    ClosedBeforeResponse, // The peer closed or reset the connection before the answer's first byte.
    Truncated, // The answer broke off.
    Malformed, // Bytes came that are not an answer.
};

inline constexpr std::array<EnumName<ClientFailure>, 4> clientFailureNames { {
    { ClientFailure::NotConnected, "not-connected" },
    { ClientFailure::ClosedBeforeResponse, "closed-before-answer" },
    { ClientFailure::Truncated, "truncated" },
    { ClientFailure::Malformed, "malformed" },
} };

// Callbacks may close the connection or send on it.
class ClientConnectionListener {
public:
    virtual ~ClientConnectionListener() = default;
    virtual void responseHeaderReceived(const HttpResponse& head) = 0;
    virtual void responseBodyReceived(std::string_view piece) = 0;
    // The answer is whole. Returns true when it was not the one asked for and the next one is to be awaited.
    virtual bool responseEnded() = 0;
    // The connection is closed. Called at most once, and not after close().
    virtual void connectionFailed(ClientFailure) = 0;
};

struct ClientConnectionSettings {
    // Time for the connection to come about.
    Milliseconds connectTimeout { 1000 };
    // Time that sent bytes may stay unacknowledged before the system gives the connection up (TCP_USER_TIMEOUT).
    Milliseconds unacknowledgedTimeout { 2000 };
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    static std::shared_ptr<ClientConnection> open(
        boost::asio::io_context&, const SocketAddress&, const ClientConnectionSettings&);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Sends a request; no other may be under way.
    void send(const HttpRequest&, std::weak_ptr<ClientConnectionListener>);
    // True when the last answer was whole, nothing came after it and both sides keep the connection.
    bool isIdle() const { return m_state == State::Idle; }
    bool isClosed() const { return m_state == State::Closed; }
    // True once a byte of the present request may have left this process.
    bool hasSent() const { return m_hasSent; }
    // How long the peer keeps the idle connection, if it said so.
    std::optional<Milliseconds> peerIdleTimeout() const { return m_peerIdleTimeout; }
    // Closes at once, by a reset when an answer is still due, so that the peer sees it at its next read or write.
    void close();

private:
    enum class State {
        New,
        Connecting,
        Busy,
        Idle,
        Closed,
    };
    class AnswerParser;

    ClientConnection(boost::asio::io_context&, const SocketAddress&, const ClientConnectionSettings&);

    void connect();
    void connected(boost::system::error_code);
    void applySocketOptions();
    void write();
    void read();
    void received(boost::system::error_code, std::size_t size);
    void parse();
    void answerComplete();
    void peerClosed(boost::system::error_code);
    void noteKeepAlive();
    void fail(ClientFailure);

    boost::asio::io_context& m_ioContext;
    const SocketAddress m_address;
    const ClientConnectionSettings m_settings;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    State m_state { State::New };
    std::weak_ptr<ClientConnectionListener> m_listener;
    std::string m_requestBytes;
    bool m_isHeadRequest { false };
    bool m_isWriting { false };
    bool m_hasSent { false };
    bool m_hasAnswerBytes { false };
    std::unique_ptr<AnswerParser> m_parser;
    std::string m_received;
    std::optional<Milliseconds> m_peerIdleTimeout;
    std::array<char, 8192> m_readBuffer;
};

} // namespace lupinknot::internal
