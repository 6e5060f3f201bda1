#include "http/ClientConnection.h"

#include "common/ByteSizes.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cctype>
#include <charconv>
#include <limits>

namespace lupinknot::internal {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t maxResponseHeaderBytes = 64 * kibibyte;
// Bytes that the parser leaves until more arrive, such as an unfinished header or chunk header.
constexpr std::size_t maxUnparsedBytes = maxResponseHeaderBytes + 16 * kibibyte;
constexpr unsigned maxInterimResponses = 16;
// A field takes many times its bytes in memory when it is short.
constexpr std::size_t maxResponseFields = 1000;
// What a kept connection may hold of the buffer for unparsed bytes.
constexpr std::size_t keptBufferBytes = 16 * kibibyte;
constexpr Milliseconds oneSecond { 1000 };
constexpr std::int64_t maxKeepAliveSeconds = 86'400;
// More than the round trip to a peer that answers bytes with a reset because its socket is closed. A peer that still
// does not read the request after that has only ended its answer.
constexpr Milliseconds maxWaitForWriteEnd { 250 };

constexpr std::size_t maxTunnelResponseBytes = 1024;
constexpr unsigned okStatus = 200;
constexpr unsigned badGatewayStatus = 502;

std::uint64_t nextNumber()
{
    // Connections are opened on several threads in tests.
    static std::atomic<std::uint64_t> last { 0 };
    return ++last;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(character)) || others.find(character) != std::string_view::npos;
}

bool isToken(beast::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Control characters other than a tab have no place in the value of a field.
bool isFieldValue(beast::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < ' ' && byte != '\t') || byte == 0x7f;
    });
}

// No request asks for a change of the protocol (101).
bool isResponseStatus(int status) { return status >= 100 && status < 600 && status != 101; }

bool mayCarryBody(const std::string& method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

std::string serialize(const HttpRequest& request)
{
    std::string bytes;
    bytes.reserve(512 + request.body.size());
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto& field : request.headers.fields())
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!request.body.empty() || mayCarryBody(request.method))
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    bytes.append("\r\n").append(request.body);
    return bytes;
}

} // namespace

// Parses a response and forwards its parts to the listener as they arrive.
class ClientConnection::ResponseParser final : public http::basic_parser<false> {
public:
    ResponseParser(const std::weak_ptr<ClientConnectionListener>& listener, bool isHeadRequest)
        : m_listener(listener)
    {
        eager(true);
        header_limit(maxResponseHeaderBytes);
        // Boost 1.74 treats boost::none ("no limit") as a limit of zero bytes.
        body_limit(std::numeric_limits<std::uint64_t>::max());
        if (isHeadRequest)
            skip(true);
    }

    const HttpResponse& head() const { return m_head; }
    // The memory that the header takes.
    std::size_t headBytes() const { return m_headBytes; }
    // 1xx responses precede the final one and are not reported.
    bool isInterim() const { return m_head.status < 200; }

private:
    void on_request_impl(http::verb, beast::string_view, beast::string_view, int, beast::error_code&) override { }

    void on_response_impl(int code, beast::string_view, int version, beast::error_code& error) override
    {
        if (!isResponseStatus(code))
            error = http::error::bad_status;
        m_head.status = static_cast<unsigned>(code);
        m_version = version;
    }

    void on_field_impl(
        http::field field, beast::string_view name, beast::string_view value, beast::error_code& error) override
    {
        if (!isToken(name)) {
            error = http::error::bad_field;
            return;
        }
        if (!isFieldValue(value)) {
            error = http::error::bad_value;
            return;
        }
        // The body cannot be read under any other coding, or a second one.
        const bool isCoding = field == http::field::transfer_encoding;
        if (isCoding && (m_version < http11 || std::exchange(m_hasCoding, true) || !beast::iequals(value, "chunked"))) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        if (m_head.headers.fields().size() >= maxResponseFields) {
            error = http::error::header_limit;
            return;
        }
        m_headBytes += sizeof(HttpHeader) + name.size() + value.size();
        m_head.headers.add(std::string(name), std::string(value));
    }

    void on_header_impl(beast::error_code&) override
    {
        if (isInterim())
            return;
        if (const auto listener = m_listener.lock())
            listener->responseHeaderReceived(m_head);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override { }

    std::size_t on_body_impl(beast::string_view body, beast::error_code&) override
    {
        if (const auto listener = m_listener.lock())
            listener->responseBodyReceived({ body.data(), body.size() });
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, beast::error_code& error) override
    {
        return on_body_impl(body, error);
    }

    void on_finish_impl(beast::error_code&) override { }

    static constexpr int http11 = 11;

    const std::weak_ptr<ClientConnectionListener>& m_listener;
    int m_version { 0 };
    bool m_hasCoding { false };
    HttpResponse m_head;
    std::size_t m_headBytes { 0 };
};

std::shared_ptr<ClientConnection> ClientConnection::open(net::io_context& ioContext, const SocketAddress& address,
    const ClientConnectionSettings& settings, std::unique_ptr<ConnectionPath> path)
{
    return std::shared_ptr<ClientConnection>(new ClientConnection(ioContext, address, settings, std::move(path)));
}

ClientConnection::ClientConnection(net::io_context& ioContext, const SocketAddress& address,
    const ClientConnectionSettings& settings, std::unique_ptr<ConnectionPath> path)
    : m_ioContext(ioContext)
    , m_number(nextNumber())
    , m_address(address)
    , m_settings(settings)
    , m_path(std::move(path))
    , m_socket(ioContext)
    , m_connectTimer(ioContext)
    , m_writeEndTimer(ioContext)
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::send(const HttpRequest& request, std::weak_ptr<ClientConnectionListener> listener)
{
    m_listener = std::move(listener);
    m_requestBytes = serialize(request);
    m_isHeadRequest = request.method == "HEAD";
    m_hasSent = false;
    m_hasWriteFailed = false;
    m_hasResponseBytes = false;
    m_interimResponses = 0;
    m_reportedBytes = 0;
    m_parser = std::make_unique<ResponseParser>(m_listener, m_isHeadRequest);
    if (m_state == State::New) {
        connect();
        return;
    }
    m_state = State::Busy;
    write();
}

void ClientConnection::connect()
{
    m_state = State::Connecting;
    const auto hop = m_path ? m_path->next() : ConnectionHop { std::nullopt, m_settings.connectTimeout };
    if (hop)
        startHop(*hop);
    else
        net::post(m_ioContext, [self = shared_from_this()] { self->fail(ClientFailure::NotConnected); });
}

void ClientConnection::startHop(const ConnectionHop& hop)
{
    const auto number = ++m_hopNumber;
    m_hopStartedAt = std::chrono::steady_clock::now();
    m_isHopOpen = true;
    m_isThroughVm = hop.vm.has_value();
    const auto& address = hop.vm ? *hop.vm : m_address;
    const auto ifCurrent = [weak = weak_from_this(), number](const auto& action) {
        const auto self = weak.lock();
        if (self && self->m_state == State::Connecting && self->m_hopNumber == number)
            action(*self);
    };
    boost::system::error_code error;
    const auto ip = net::ip::make_address(address.host, error);
    if (error) {
        net::post(m_ioContext, [self = shared_from_this(), ifCurrent] {
            ifCurrent([](ClientConnection& connection) { connection.hopEnded(HopResult::Refused); });
        });
        return;
    }
    m_connectTimer.expires_after(hop.timeout);
    m_connectTimer.async_wait([ifCurrent](boost::system::error_code waitError) {
        if (!waitError)
            ifCurrent([](ClientConnection& connection) { connection.hopEnded(HopResult::TimedOut); });
    });
    m_socket.async_connect({ ip, static_cast<unsigned short>(address.port) },
        [self = shared_from_this(), ifCurrent](boost::system::error_code connectError) {
            ifCurrent([connectError](ClientConnection& connection) {
                connection.m_wasResetOnConnect = connectError == net::error::connection_reset;
                if (!connectError && connection.m_isThroughVm)
                    connection.requestTunnel();
                else
                    connection.hopEnded(connectError ? HopResult::Refused : HopResult::Connected);
            });
        });
}

void ClientConnection::requestTunnel()
{
    const auto target = m_address.text();
    // Owned by the operations of this hop, which may end after the next hop has started.
    const auto buffer
        = std::make_shared<std::string>("CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n\r\n");
    const auto isCurrent = [self = shared_from_this(), number = m_hopNumber] {
        return self->m_state == State::Connecting && self->m_hopNumber == number;
    };
    net::async_write(m_socket, net::buffer(*buffer),
        [self = shared_from_this(), buffer, isCurrent](boost::system::error_code error, std::size_t) {
            if (!isCurrent())
                return;
            if (error) {
                self->hopEnded(HopResult::VmUnavailable);
                return;
            }
            buffer->clear();
            net::async_read_until(self->m_socket, net::dynamic_buffer(*buffer, maxTunnelResponseBytes), "\r\n\r\n",
                [self, buffer, isCurrent](boost::system::error_code readError, std::size_t size) {
                    if (isCurrent())
                        self->tunnelAnswered(*buffer, readError ? 0 : size);
                });
        });
}

void ClientConnection::tunnelAnswered(const std::string& response, std::size_t headerSize)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    unsigned status = 0;
    if (headerSize > version.size() && response.compare(0, version.size(), version) == 0)
        std::from_chars(response.data() + version.size(), response.data() + headerSize, status);
    if (status == okStatus)
        hopEnded(HopResult::Connected);
    else
        hopEnded(status == badGatewayStatus ? HopResult::EndpointUnreachable : HopResult::VmUnavailable);
}

void ClientConnection::hopEnded(HopResult result)
{
    const auto self = shared_from_this();
    m_connectTimer.cancel();
    m_isRefused = result == HopResult::Refused;
    reportHop(result);
    if (m_state != State::Connecting)
        return;
    if (result == HopResult::Connected) {
        established();
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const auto hop = m_path ? m_path->next() : std::nullopt;
    if (hop)
        startHop(*hop);
    else
        fail(ClientFailure::NotConnected);
}

void ClientConnection::reportHop(HopResult result)
{
    if (std::exchange(m_isHopOpen, false) && m_path)
        m_path->noteResult(
            result, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_hopStartedAt));
}

void ClientConnection::established()
{
    applySocketOptions();
    m_state = State::Busy;
    write();
    read();
}

void ClientConnection::applySocketOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(net::ip::tcp::no_delay(true), ignored);
    applyLiveness(m_socket, m_settings.liveness);
}

void ClientConnection::write()
{
    m_hasSent = true;
    m_isWriting = true;
    net::async_write(m_socket, net::buffer(m_requestBytes),
        [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->m_isWriting = false;
            self->m_hasWriteFailed = self->m_hasWriteFailed || error;
            // The peer may respond and close before it has read the whole request; its response is still read.
            if (error && self->m_state == State::Idle)
                self->close();
            else if (self->m_isAwaitingWriteEnd)
                self->endWithConnection();
        });
}

void ClientConnection::read()
{
    m_socket.async_read_some(
        net::buffer(m_readBuffer), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            self->received(error, size);
        });
}

void ClientConnection::received(boost::system::error_code error, std::size_t size)
{
    if (m_state == State::Closed)
        return;
    if (error) {
        peerClosed(error);
        return;
    }
    if (m_state != State::Busy) {
        // No response is pending, so the bytes belong to no request.
        close();
        return;
    }
    m_hasResponseBytes = true;
    m_received.append(m_readBuffer.data(), size);
    parse();
    if (m_state != State::Closed)
        read();
}

void ClientConnection::parse()
{
    const auto self = shared_from_this();
    while (m_state == State::Busy && !m_received.empty()) {
        beast::error_code error;
        const auto used = m_parser->put(net::buffer(m_received), error);
        if (m_state != State::Busy)
            return;
        m_received.erase(0, used);
        if (error && error != http::error::need_more) {
            fail(ClientFailure::Malformed);
            return;
        }
        if (m_parser->is_done())
            finishResponse();
        else if (error == http::error::need_more || used == 0)
            break;
    }
    if (m_state == State::Busy && m_received.size() > maxUnparsedBytes)
        fail(ClientFailure::Malformed);
    if (m_received.empty() && m_received.capacity() > keptBufferBytes)
        std::string().swap(m_received);
    reportHeldBytes();
}

void ClientConnection::reportHeldBytes()
{
    if (m_state != State::Busy)
        return;
    const auto held = m_received.size() + m_parser->headBytes();
    const auto listener = m_listener.lock();
    if (std::exchange(m_reportedBytes, held) != held && listener)
        listener->responseBytesHeld(held);
}

void ClientConnection::finishResponse()
{
    if (m_parser->isInterim()) {
        if (++m_interimResponses > maxInterimResponses) {
            fail(ClientFailure::Malformed);
            return;
        }
        m_parser = std::make_unique<ResponseParser>(m_listener, m_isHeadRequest);
        return;
    }
    const bool keepsAlive = m_parser->keep_alive() && !m_parser->need_eof();
    readKeepAliveTimeout();
    const auto listener = m_listener.lock();
    const bool mustAwaitNext = listener && listener->responseEnded();
    if (m_state != State::Busy)
        return;
    if (mustAwaitNext && keepsAlive) {
        m_hasResponseBytes = !m_received.empty();
        m_parser = std::make_unique<ResponseParser>(m_listener, m_isHeadRequest);
        return;
    }
    if (mustAwaitNext) {
        fail(ClientFailure::ClosedBeforeResponse);
        return;
    }
    if (!keepsAlive || !m_received.empty() || m_isWriting) {
        close();
        return;
    }
    m_state = State::Idle;
    m_listener.reset();
    m_parser.reset();
    std::string().swap(m_requestBytes);
}

void ClientConnection::readKeepAliveTimeout()
{
    m_peerIdleTimeout.reset();
    const auto value = m_parser->head().headers.find("Keep-Alive");
    if (!value)
        return;
    constexpr std::string_view name = "timeout=";
    const auto start = value->find(name);
    if (start == std::string_view::npos)
        return;
    const auto digits = value->substr(start + name.size());
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec == std::errc())
        m_peerIdleTimeout = std::clamp<std::int64_t>(seconds, 0, maxKeepAliveSeconds) * oneSecond;
}

void ClientConnection::peerClosed(boost::system::error_code error)
{
    if (m_state != State::Busy) {
        close();
        return;
    }
    if (!m_hasResponseBytes) {
        fail(ClientFailure::ClosedBeforeResponse);
        return;
    }
    if (error != net::error::eof || !endsWithConnection())
        fail(ClientFailure::Truncated);
    else if (m_isWriting)
        awaitWriteEnd();
    else
        endWithConnection();
}

bool ClientConnection::endsWithConnection() const
{
    // Another VM's process closes its connections in the same way when it is killed, so that through it a response
    // without a length has no certain end.
    return !m_isThroughVm && m_parser->is_header_done() && m_parser->need_eof();
}

void ClientConnection::awaitWriteEnd()
{
    m_isAwaitingWriteEnd = true;
    m_writeEndTimer.expires_after(maxWaitForWriteEnd);
    m_writeEndTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->m_isAwaitingWriteEnd)
            self->endWithConnection();
    });
}

void ClientConnection::endWithConnection()
{
    const auto self = shared_from_this();
    m_isAwaitingWriteEnd = false;
    m_writeEndTimer.cancel();
    beast::error_code parseError;
    if (!m_hasWriteFailed)
        m_parser->put_eof(parseError);
    if (m_state != State::Busy)
        return;
    if (m_hasWriteFailed || parseError || !m_parser->is_done())
        fail(ClientFailure::Truncated);
    else
        finishResponse();
}

void ClientConnection::fail(ClientFailure failure)
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    const auto listener = m_listener.lock();
    close();
    if (listener)
        listener->connectionFailed(failure);
}

void ClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    const bool isResponsePending = m_state == State::Busy;
    m_state = State::Closed;
    m_listener.reset();
    m_connectTimer.cancel();
    m_isAwaitingWriteEnd = false;
    m_writeEndTimer.cancel();
    boost::system::error_code ignored;
    if (isResponsePending)
        m_socket.set_option(net::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    reportHop(HopResult::Abandoned);
}

} // namespace lupinknot::internal
