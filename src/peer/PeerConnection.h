// One connection between two daemons: messages both ways over one HTTP/2 stream, by nghttp2.
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

// Calls come on the connection's strand, one at a time. closed() comes once, and nothing after it.
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

// Thread-safe: send() and close() post to the strand, everything else happens there. Owned by its pending operations
// and by whoever holds it. Messages are sent in order; a connection whose peer takes nothing is closed when its queue
// is full.
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
    // Bytes handed to the system so far, HTTP/2 framing included. Thread-safe.
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
    void takeInput(const std::uint8_t* data, std::size_t size);
    void takeMessages();
    void closeNow();

    boost::asio::ip::tcp::socket m_socket;
    const PeerRole m_role;
    const std::weak_ptr<PeerConnectionOwner> m_owner;
    nghttp2_session* m_session { nullptr };
    std::int32_t m_streamId { 0 };
    std::vector<std::uint8_t> m_readBuffer;
    std::string m_incoming;
    // What the stream's data is taken from.
    std::string m_queue;
    std::size_t m_queueOffset { 0 };
    bool m_isDeferred { false };
    std::string m_writeBuffer;
    bool m_isWriting { false };
    bool m_isClosed { false };
    std::atomic<std::uint64_t> m_sentBytes { 0 };
};

} // namespace lupinknot::internal
