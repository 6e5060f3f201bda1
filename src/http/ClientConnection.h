// One outgoing HTTP/1.1 connection that never sends a request twice.
//
// cpprestsdk's client resends a request by itself when a pooled connection turns out to be closed, although the server
// may already have run the first one. This connection reports the failure instead and lets its owner decide:
//
//     auto connection = ClientConnection::open(ioContext, address, settings);
//     connection->send(request, listener);     // Connects first if necessary.
//     ...                                      // The listener receives the response's header, body and end.
//     if (connection->isIdle()) ...            // May carry the next request.
//
// An idle connection keeps reading; it closes when the peer closes it or sends unsolicited bytes.
// Not thread-safe: all calls and callbacks are made on the single thread that runs the io_context. Owned by its user
// and by its pending operations.
#pragma once

#include "http/ConnectionPath.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "http/SocketLiveness.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace lupinknot::internal {

enum class ClientFailure {
    NotConnected, // The connection could not be established; nothing was sent.
    ClosedBeforeResponse, // The peer closed or reset the connection before the first byte of the response.
    Truncated, // The connection ended within the response.
    Malformed, // The received bytes are not an HTTP response.
};

inline constexpr std::array<EnumName<ClientFailure>, 4> clientFailureNames { {
    { ClientFailure::NotConnected, "not-connected" },
    { ClientFailure::ClosedBeforeResponse, "closed-before-answer" },
    { ClientFailure::Truncated, "truncated" },
    { ClientFailure::Malformed, "malformed" },
} };

// Receives the response. Callbacks may close the connection or send on it.
class ClientConnectionListener {
public:
    virtual ~ClientConnectionListener() = default;
    virtual void responseHeaderReceived(const HttpResponse& head) = 0;
    virtual void responseBodyReceived(std::string_view piece) = 0;
    // The connection holds so many bytes of the response: its header, and what cannot be parsed before more arrives.
    virtual void responseBytesHeld(std::size_t) { }
    // The response is complete. Returns true if it does not belong to the request and the next one must be awaited.
    virtual bool responseEnded() = 0;
    // The connection failed and is closed. Called at most once, and never after close().
    virtual void connectionFailed(ClientFailure) = 0;
};

struct ClientConnectionSettings {
    // Time in which the connection must be established.
    Milliseconds connectTimeout { 1000 };
    // Detects a peer that disappears without closing the connection.
    SocketLiveness liveness {};
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    // Without a path there is one direct attempt, with the timeout in the settings.
    static std::shared_ptr<ClientConnection> open(boost::asio::io_context&, const SocketAddress&,
        const ClientConnectionSettings&, std::unique_ptr<ConnectionPath> = nullptr);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Sends a request. No other request may be in progress.
    void send(const HttpRequest&, std::weak_ptr<ClientConnectionListener>);
    // True when the last response was complete, no bytes followed it and both sides keep the connection open.
    bool isIdle() const { return m_state == State::Idle; }
    bool isClosed() const { return m_state == State::Closed; }
    // Identifies the connection within this process.
    std::uint64_t number() const { return m_number; }
    // True if the connection was made by another VM.
    bool isThroughVm() const { return m_isThroughVm; }
    // True once bytes of the current request may have left this process.
    bool hasSent() const { return m_hasSent; }
    // True if the last attempt to connect was refused; false if nothing answered it.
    bool isRefused() const { return m_isRefused; }
    // True if the connection was reset before it was established: the peer's host is up, and another connection may be
    // accepted.
    bool wasResetOnConnect() const { return m_wasResetOnConnect; }
    // How long the peer keeps the connection open while idle, if its last response stated it (Keep-Alive header).
    std::optional<Milliseconds> peerIdleTimeout() const { return m_peerIdleTimeout; }
    // Closes immediately; with a reset if a response is still pending, so that the peer notices it at its next read or
    // write.
    void close();

private:
    enum class State {
        New,
        Connecting,
        Busy,
        Idle,
        Closed,
    };
    class ResponseParser;

    ClientConnection(boost::asio::io_context&, const SocketAddress&, const ClientConnectionSettings&,
        std::unique_ptr<ConnectionPath>);

    void connect();
    void startHop(const ConnectionHop&);
    // Goes on to the next hop unless this one is connected.
    void hopEnded(HopResult);
    // Asks the VM at the other end of the connection to connect to the address (HTTP CONNECT).
    void requestTunnel();
    void tunnelAnswered(const std::string& response, std::size_t headerSize);
    void reportHop(HopResult);
    void established();
    void applySocketOptions();
    void write();
    void read();
    void received(boost::system::error_code, std::size_t size);
    void parse();
    // Reports the bytes that are held if their number has changed.
    void reportHeldBytes();
    void finishResponse();
    void peerClosed(boost::system::error_code);
    // True when only the end of the connection can end the response.
    bool endsWithConnection() const;
    // The peer has closed the connection, and the response has no length: waits until it is known whether the rest of
    // the request could be written.
    void awaitWriteEnd();
    // Ends the response at the end of the connection, unless the connection was reset.
    void endWithConnection();
    void readKeepAliveTimeout();
    void fail(ClientFailure);

    boost::asio::io_context& m_ioContext;
    const std::uint64_t m_number;
    const SocketAddress m_address;
    const ClientConnectionSettings m_settings;
    // Null for a direct connection that nobody observes.
    const std::unique_ptr<ConnectionPath> m_path;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    // Distinguishes the callbacks of the present hop from those of earlier ones.
    unsigned m_hopNumber { 0 };
    bool m_isThroughVm { false };
    bool m_isRefused { false };
    bool m_wasResetOnConnect { false };
    std::chrono::steady_clock::time_point m_hopStartedAt;
    // True while a hop has no result.
    bool m_isHopOpen { false };
    State m_state { State::New };
    std::weak_ptr<ClientConnectionListener> m_listener;
    std::string m_requestBytes;
    bool m_isHeadRequest { false };
    bool m_isWriting { false };
    // True after an error of the write. A reset is reported once, so that the read may see an orderly end after it.
    bool m_hasWriteFailed { false };
    bool m_isAwaitingWriteEnd { false };
    boost::asio::steady_timer m_writeEndTimer;
    bool m_hasSent { false };
    bool m_hasResponseBytes { false };
    unsigned m_interimResponses { 0 };
    std::unique_ptr<ResponseParser> m_parser;
    std::string m_received;
    std::size_t m_reportedBytes { 0 };
    std::optional<Milliseconds> m_peerIdleTimeout;
    std::array<char, 8192> m_readBuffer;
};

} // namespace lupinknot::internal
