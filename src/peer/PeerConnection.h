// One connection between two daemons. It carries messages in both directions over one HTTP/2 stream, using nghttp2.
#pragma once

#include "common/ByteSizes.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

struct nghttp2_session;

namespace lupinknot::wire {
class Envelope;
}

namespace lupinknot::internal {

class PeerConnection;

// Receives the connection's events. Methods are called one at a time on the connection's strand. closed() is called
// once, as the last one.
class PeerConnectionOwner {
public:
    virtual ~PeerConnectionOwner() = default;
    virtual void messageArrived(const std::shared_ptr<PeerConnection>&, const wire::Envelope&) = 0;
    virtual void closed(const std::shared_ptr<PeerConnection>&) = 0;
};

enum class PeerRole {
    Dialer,
    Acceptor,
};

// Thread-safe: start(), send() and close() post to the strand, and all other work runs there. Owned by its pending
// operations and by its users. Messages are sent in order. If the peer does not read, the connection is closed when its
// send queue is full.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    // The socket's executor must be a strand.
    PeerConnection(boost::asio::ip::tcp::socket, PeerRole, std::weak_ptr<PeerConnectionOwner>);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    void start();
    void send(const wire::Envelope&);
    void close();
    // Bytes written to the socket so far, including HTTP/2 framing. Thread-safe.
    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Callbacks;

    static constexpr std::size_t maxQueuedBytes = 16 * mebibyte;
    static constexpr std::size_t maxMessageBytes = 8 * mebibyte;
    static constexpr std::size_t readSize = 64 * kibibyte;

    bool openSession();
    void openStream();
    void enqueue(const std::string& frame);
    void flush();
    void read();
    void processInput(const std::uint8_t* data, std::size_t size);
    void deliverMessages();
    void closeNow();

    boost::asio::ip::tcp::socket m_socket;
    const PeerRole m_role;
    const std::weak_ptr<PeerConnectionOwner> m_owner;
    nghttp2_session* m_session { nullptr };
    std::int32_t m_streamId { 0 };
    std::vector<std::uint8_t> m_readBuffer;
    std::string m_incoming;
    // Framed messages that the stream has not sent yet.
    std::string m_queue;
    std::size_t m_queueOffset { 0 };
    bool m_isDeferred { false };
    std::string m_writeBuffer;
    bool m_isWriting { false };
    bool m_isClosed { false };
    std::atomic<std::uint64_t> m_sentBytes { 0 };
};

} // namespace lupinknot::internal
