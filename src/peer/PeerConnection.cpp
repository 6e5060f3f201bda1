#include "peer/PeerConnection.h"

#include "common/Log.h"
#include "peer/generated/Messages.pb.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <nghttp2/nghttp2.h>

namespace lupinknot::internal {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::uint32_t windowBytes = 4 * 1024 * 1024;

nghttp2_nv header(const char* name, const char* value)
{
    // nghttp2 copies both; its interface lacks the const.
    auto* nameBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name));
    auto* valueBytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value));
    return { nameBytes, valueBytes, std::strlen(name), std::strlen(value), NGHTTP2_NV_FLAG_NONE };
}

std::string frameOf(const wire::Envelope& envelope)
{
    std::string frame(lengthBytes, '\0');
    envelope.AppendToString(&frame);
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(frame.data()), static_cast<std::uint32_t>(frame.size() - lengthBytes));
    return frame;
}

} // namespace

// What nghttp2 calls back. The user data is the connection.
struct PeerConnection::Callbacks {
    static PeerConnection& self(void* userData) { return *static_cast<PeerConnection*>(userData); }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* userData)
    {
        auto& connection = self(userData);
        const bool isRequest = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (isRequest && !connection.m_streamId) {
            connection.m_streamId = frame->hd.stream_id;
            connection.openStream();
        }
        return 0;
    }

    static int dataReceived(
        nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* data, std::size_t size, void* userData)
    {
        self(userData).m_incoming.append(reinterpret_cast<const char*>(data), size);
        return 0;
    }

    static int streamClosed(nghttp2_session*, std::int32_t, std::uint32_t, void* userData)
    {
        self(userData).close();
        return 0;
    }

    static ssize_t readData(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size, std::uint32_t*,
        nghttp2_data_source*, void* userData)
    {
        auto& connection = self(userData);
        const auto available = connection.m_queue.size() - connection.m_queueOffset;
        if (!available) {
            connection.m_isDeferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto taken = std::min(available, size);
        std::memcpy(buffer, connection.m_queue.data() + connection.m_queueOffset, taken);
        connection.m_queueOffset += taken;
        if (connection.m_queueOffset == connection.m_queue.size()) {
            connection.m_queue.clear();
            connection.m_queueOffset = 0;
        }
        return static_cast<ssize_t>(taken);
    }
};

PeerConnection::PeerConnection(
    boost::asio::ip::tcp::socket socket, PeerRole role, std::weak_ptr<PeerConnectionOwner> owner)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_owner(std::move(owner))
    , m_readBuffer(readSize)
{
}

PeerConnection::~PeerConnection() { nghttp2_session_del(m_session); }

void PeerConnection::start()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->openSession()) {
            self->closeNow();
            return;
        }
        self->flush();
        self->read();
    });
}

void PeerConnection::send(const wire::Envelope& envelope)
{
    boost::asio::post(
        m_socket.get_executor(), [self = shared_from_this(), frame = frameOf(envelope)] { self->enqueue(frame); });
}

void PeerConnection::close()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeNow(); });
}

bool PeerConnection::openSession()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks))
        return false;
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::dataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::streamClosed);
    const bool isDialer = m_role == PeerRole::Dialer;
    const auto failure = isDialer ? nghttp2_session_client_new(&m_session, callbacks, this)
                                  : nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    if (failure)
        return false;
    const nghttp2_settings_entry window { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, windowBytes };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, &window, 1);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, windowBytes);
    if (isDialer)
        openStream();
    return true;
}

// The stream stays open for as long as the connection; its data never ends.
void PeerConnection::openStream()
{
    nghttp2_data_provider provider {};
    provider.read_callback = Callbacks::readData;
    if (m_role == PeerRole::Dialer) {
        const std::array<nghttp2_nv, 4> request { header(":method", "POST"), header(":scheme", "http"),
            header(":authority", "peer"), header(":path", "/v1/peer") };
        m_streamId = nghttp2_submit_request(m_session, nullptr, request.data(), request.size(), &provider, nullptr);
        return;
    }
    const std::array<nghttp2_nv, 1> response { header(":status", "200") };
    nghttp2_submit_response(m_session, m_streamId, response.data(), response.size(), &provider);
}

void PeerConnection::enqueue(const std::string& frame)
{
    if (m_isClosed)
        return;
    if (m_queue.size() + frame.size() > maxQueuedBytes) {
        logWarning(LogComponent::Journal, "a peer takes nothing; its connection is closed.");
        closeNow();
        return;
    }
    m_queue.append(frame);
    if (m_isDeferred) {
        m_isDeferred = false;
        nghttp2_session_resume_data(m_session, m_streamId);
    }
    flush();
}

void PeerConnection::flush()
{
    if (m_isWriting || m_isClosed || !m_session)
        return;
    const std::uint8_t* data = nullptr;
    while (m_writeBuffer.size() < readSize) {
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size <= 0)
            break;
        m_writeBuffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    if (m_writeBuffer.empty())
        return;
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer),
        [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            self->m_isWriting = false;
            self->m_sentBytes += size;
            self->m_writeBuffer.clear();
            if (error)
                self->closeNow();
            else
                self->flush();
        });
}

void PeerConnection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (error || self->m_isClosed) {
                self->closeNow();
                return;
            }
            self->takeInput(self->m_readBuffer.data(), size);
        });
}

void PeerConnection::takeInput(const std::uint8_t* data, std::size_t size)
{
    if (nghttp2_session_mem_recv(m_session, data, size) < 0) {
        closeNow();
        return;
    }
    takeMessages();
    if (m_isClosed)
        return;
    flush();
    read();
}

void PeerConnection::takeMessages()
{
    const auto owner = m_owner.lock();
    std::size_t offset = 0;
    while (owner && !m_isClosed && m_incoming.size() - offset >= lengthBytes) {
        const auto* start = reinterpret_cast<const unsigned char*>(m_incoming.data()) + offset;
        const std::size_t length = boost::endian::load_big_u32(start);
        if (length > maxMessageBytes) {
            closeNow();
            return;
        }
        if (m_incoming.size() - offset - lengthBytes < length)
            break;
        wire::Envelope envelope;
        if (!envelope.ParseFromArray(start + lengthBytes, static_cast<int>(length))) {
            closeNow();
            return;
        }
        offset += lengthBytes + length;
        owner->messageArrived(shared_from_this(), envelope);
    }
    m_incoming.erase(0, offset);
}

void PeerConnection::closeNow()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (const auto owner = m_owner.lock())
        owner->closed(shared_from_this());
}

} // namespace lupinknot::internal
