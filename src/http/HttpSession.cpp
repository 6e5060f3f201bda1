#include "http/HttpSession.h"

#include "common/ByteSizes.h"
#include "http/HttpBodySource.h"
#include "http/JsonError.h"
#include "lupinknot/MonotonicClock.h"

#include <array>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>

namespace lupinknot::internal {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr Milliseconds drainTime { 1000 };
constexpr std::size_t drainLimit = 64 * mebibyte;
constexpr std::size_t drainPieceSize = 16 * kibibyte;
// Bytes that are read at once: of a header, and of a body.
constexpr std::size_t headerReadSize = 4 * kibibyte;
constexpr std::size_t bodyReadSize = 16 * kibibyte;
// Bytes of a body that count as progress. With fewer, callers could hold their connections by a byte now and then.
constexpr std::size_t progressBytes = 64 * kibibyte;
// Memory of a header field beside its name and value.
constexpr std::size_t fieldOverhead = 128;
// The body of a request that is handled, and a copy that is sent to an endpoint.
constexpr std::size_t bodyCopies = 2;
// Memory that the body of a request that is handled may have beyond its size.
constexpr std::size_t maxUnusedBytes = 64 * kibibyte;
constexpr Milliseconds retryWithoutMemory { 1000 };
constexpr std::size_t readAheadPieceSize = 16 * kibibyte;

JsonError describeConnectionLimit()
{
    return { 503, "too_many_connections", "this VM holds as many connections as its limits allow", "",
        RunOutcome::NotRun, Milliseconds { 1000 } };
}

JsonError describeReadFailure(beast::error_code error, const HttpServerSettings& settings)
{
    JsonError refusal;
    if (error == http::error::header_limit) {
        refusal = { 431, "header_too_large",
            "the request's header is larger than the limit of " + std::to_string(settings.maxHeaderBytes) + " bytes",
            "header", RunOutcome::NotRun, {} };
    } else if (error == http::error::buffer_overflow) {
        refusal = { 431, "header_too_large",
            "the request's trailers or a chunk's extensions are larger than the limit of "
                + std::to_string(settings.maxHeaderBytes) + " bytes",
            "trailer", RunOutcome::NotRun, {} };
    } else if (error == http::error::body_limit) {
        refusal = { 413, "body_too_large",
            "the request's body is larger than the limit of " + std::to_string(settings.maxBodyBytes) + " bytes",
            "body", RunOutcome::NotRun, {} };
    } else if (error == beast::error::timeout) {
        refusal = { 408, "request_timeout",
            "the request did not arrive in time: " + std::to_string(settings.headerTimeout.count())
                + " ms for the header, " + std::to_string(settings.bodyTimeout.count()) + " ms for the body",
            "", RunOutcome::NotRun, {} };
    } else {
        refusal = { 400, "malformed_request", "the request is not HTTP/1.1: " + error.message(), "", RunOutcome::NotRun,
            {} };
    }
    return refusal;
}

JsonError describeLackOfMemory()
{
    return { 503, "request_memory_full", "the requests at this VM need all memory that it has for them; try again", "",
        RunOutcome::NotRun, retryWithoutMemory };
}

// Keep-Alive header: how long the caller may reuse the idle connection, in whole seconds. It is shorter than the idle
// timeout, because the caller's next request takes time to arrive.
std::string keepAliveText(const HttpServerSettings& settings)
{
    constexpr std::int64_t millisecondsInSecond = 1000;
    const auto seconds = settings.idleTimeout.count() / millisecondsInSecond - 1;
    return "timeout=" + std::to_string(std::max<std::int64_t>(seconds, 1));
}

bool isDisconnect(beast::error_code error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message || error == net::error::eof
        || error == net::error::connection_reset || error == net::error::operation_aborted
        || error == net::error::broken_pipe;
}

} // namespace

// Lives as long as a handler or the session holds it; may outlive the session.
class HttpSession::Exchange final : public HttpExchange, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(const std::shared_ptr<HttpSession>& session, HttpRequest request,
        std::unique_ptr<RequestMemory::Holding> memory)
        : m_session(session)
        , m_executor(session->m_stream.get_executor())
        , m_memory(std::move(memory))
        , m_request(std::move(request))
    {
    }

    const HttpRequest& request() const override { return m_request; }

    void respond(HttpResponse response) override
    {
        post([self = shared_from_this(), response = std::move(response)](
                 HttpSession& session) mutable { session.respond(self, std::move(response)); });
    }

    void stream(HttpResponse head, std::shared_ptr<HttpBodySource> source) override
    {
        post([self = shared_from_this(), head = std::move(head), source = std::move(source)](
                 HttpSession& session) mutable { session.beginStream(self, head, std::move(source)); });
    }

    void upgrade(UpgradeCallback callback) override
    {
        post([self = shared_from_this(), callback = std::move(callback)](
                 HttpSession& session) { session.upgrade(self, callback); });
    }

    void wake() override
    {
        // One pending wake-up is enough, however many tokens arrive before it runs.
        if (m_isWakePending.exchange(true))
            return;
        post([self = shared_from_this()](HttpSession& session) {
            self->m_isWakePending = false;
            session.pump(self);
        });
    }

    void abort() override
    {
        post([self = shared_from_this()](HttpSession& session) {
            if (session.m_exchange == self)
                session.closeAndNotify();
        });
    }

    void onPeerDisconnected(std::function<void()> callback) override
    {
        net::post(m_executor, [self = shared_from_this(), callback = std::move(callback)] {
            if (self->m_isPeerDisconnected)
                callback();
            else if (!self->m_isAnswered)
                self->m_disconnectCallback = callback;
        });
    }

    // The following methods are called on the strand only.
    bool isAnswered() const { return m_isAnswered; }

    void setAnswered()
    {
        m_isAnswered = true;
        m_disconnectCallback = nullptr;
    }

    void notifyPeerDisconnected()
    {
        if (m_isPeerDisconnected || m_isAnswered)
            return;
        m_isPeerDisconnected = true;
        const auto callback = std::move(m_disconnectCallback);
        m_disconnectCallback = nullptr;
        if (callback)
            callback();
    }

private:
    template <typename Action> void post(Action action)
    {
        net::post(m_executor, [weak = m_session, action = std::move(action)]() mutable {
            if (const auto session = weak.lock())
                action(*session);
        });
    }

    const std::weak_ptr<HttpSession> m_session;
    const beast::tcp_stream::executor_type m_executor;
    const std::unique_ptr<RequestMemory::Holding> m_memory;
    const HttpRequest m_request;
    std::atomic<bool> m_isWakePending { false };
    bool m_isAnswered { false };
    bool m_isPeerDisconnected { false };
    std::function<void()> m_disconnectCallback;
};

HttpSession::HttpSession(net::ip::tcp::socket socket, std::shared_ptr<HttpSessionOwner> owner)
    : m_stream(std::move(socket))
    , m_owner(std::move(owner))
    , m_exchangeHold(m_stream.get_executor())
    , m_readTimer(m_stream.get_executor())
{
}

HttpSession::~HttpSession()
{
    // A session that still has an exchange is destroyed with its io_context. The handler may already be destroyed, so
    // it is not notified.
    notifyClosed();
}

void HttpSession::run()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] { self->awaitRequest(); });
}

void HttpSession::refuseForConnectionLimit(bool mayDrain)
{
    m_mustDrain = mayDrain;
    net::post(m_stream.get_executor(),
        [self = shared_from_this()] { self->writeBufferedResponse(errorResponse(describeConnectionLimit()), false); });
}

void HttpSession::abort()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] {
        beast::error_code ignored;
        self->m_stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
        self->closeAndNotify();
    });
}

void HttpSession::closeIfIdle()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] { self->closeIfNothingArrived(); });
}

void HttpSession::closeIfNothingArrived()
{
    beast::error_code error;
    // A request that has arrived is handled.
    if (m_isIdle && m_stream.socket().available(error) == 0)
        close();
}

void HttpSession::displace()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (self->m_isIdle) {
            self->closeIfNothingArrived();
        } else if (!self->m_isClosed && self->m_isReceiving) {
            self->m_isDisplaced = true;
            self->m_stream.cancel();
        }
    });
}

// Waits for the first byte of a request, so that the header timeout does not include the idle time before it.
void HttpSession::awaitRequest()
{
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    m_isIdle = true;
    m_owner->sessionChanged(this, m_hasReceivedRequest ? ConnectionState::Resting : ConnectionState::New);
    m_stream.expires_never();
    startReadTimer(m_owner->settings()->idleTimeout);
    m_stream.socket().async_wait(net::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
        self->m_isIdle = false;
        if (error || self->m_isClosed)
            self->close();
        else
            self->readRequest();
    });
}

void HttpSession::readRequest()
{
    m_isReceiving = true;
    m_reportedBodyBytes = 0;
    m_isDisplaced = !m_owner->sessionChanged(this, ConnectionState::ReceivingHeader);
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_owner->settings()->maxHeaderBytes));
    m_parser->body_limit(static_cast<std::uint64_t>(m_owner->settings()->maxBodyBytes));
    m_fieldBytes = 0;
    m_stream.expires_never();
    startReadTimer(m_owner->settings()->headerTimeout);
    if (m_buffer.size() > 0)
        parse();
    else
        readSome();
}

void HttpSession::readSome()
{
    auto size = headerReadSize;
    if (m_parser->is_header_done()) {
        const auto left = m_parser->content_length_remaining();
        size = left ? static_cast<std::size_t>(std::min<std::uint64_t>(*left, bodyReadSize)) : bodyReadSize;
    }
    m_stream.async_read_some(
        m_buffer.prepare(size), [self = shared_from_this()](beast::error_code error, std::size_t received) {
            self->received(error, received);
        });
}

void HttpSession::received(beast::error_code error, std::size_t size)
{
    m_buffer.commit(size);
    if (error || m_lacksMemory)
        refuse(error);
    else
        parse();
}

void HttpSession::parse()
{
    const bool wasHeaderDone = m_parser->is_header_done();
    beast::error_code error;
    parseBuffer(error);
    if (error && error != http::error::need_more) {
        refuse(error);
        return;
    }
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    // What is left after a header are trailers or the extensions of a chunk, which the parser does not limit.
    const auto maxUnparsed = static_cast<std::size_t>(m_owner->settings()->maxHeaderBytes);
    if (m_parser->is_header_done() && m_buffer.size() > maxUnparsed) {
        refuse(http::error::buffer_overflow);
        return;
    }
    if (!keepsConnection(wasHeaderDone)) {
        refuseForDescriptors();
        return;
    }
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    m_lacksMemory = !memory().resize(receivedBytes(), MonotonicClock().now());
    if (m_lacksMemory)
        refuse({});
    else
        readSome();
}

void HttpSession::parseBuffer(beast::error_code& error)
{
    while (!error && m_buffer.size() > 0 && !m_parser->is_done()) {
        const bool wasHeaderDone = m_parser->is_header_done();
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (wasHeaderDone || !m_parser->is_header_done())
            continue;
        for (const auto& field : m_parser->get())
            m_fieldBytes += fieldOverhead + field.name_string().size() + field.value().size();
        m_parser->eager(true);
    }
}

bool HttpSession::keepsConnection(bool wasHeaderDone)
{
    if (m_isDisplaced)
        return false;
    if (!m_parser->is_header_done())
        return true;
    if (!wasHeaderDone) {
        startReadTimer(m_owner->settings()->bodyTimeout);
        return m_owner->sessionChanged(this, ConnectionState::ReceivingBody);
    }
    const auto size = m_parser->get().body().size();
    if (size - m_reportedBodyBytes >= progressBytes) {
        m_reportedBodyBytes = size;
        m_owner->sessionProgressed(this);
    }
    return true;
}

std::size_t HttpSession::receivedBytes() const
{
    return m_buffer.capacity() + m_fieldBytes + m_parser->get().body().capacity();
}

std::size_t HttpSession::completeBytes() const
{
    std::size_t bytes = bodyCopies * m_parser->get().body().capacity();
    // With the fields of trailers.
    for (const auto& field : m_parser->get())
        bytes += fieldOverhead + field.name_string().size() + field.value().size();
    return bytes;
}

RequestMemory::Holding& HttpSession::memory()
{
    if (!m_memory) {
        m_memory = m_owner->requestMemory().open(
            MonotonicClock().now(), [weak = weak_from_this(), executor = m_stream.get_executor()] {
                // At once where possible: many requests may need memory before a posted callback runs.
                net::dispatch(executor, [weak] {
                    if (const auto self = weak.lock())
                        self->lacksMemory();
                });
            });
    }
    return *m_memory;
}

// Frees what has been parsed and ends the pending read, whose callback refuses the request. The holding stays, because
// it is in use.
void HttpSession::lacksMemory()
{
    if (!m_memory)
        return;
    if (m_isBusy) {
        dropReadAhead();
        return;
    }
    m_lacksMemory = true;
    m_parser.reset();
    m_stream.cancel();
}

void HttpSession::releaseRequest()
{
    m_parser.reset();
    m_memory.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

void HttpSession::startReadTimer(Milliseconds time)
{
    m_hasReadTimedOut = false;
    m_readTimer.expires_after(time);
    m_readTimer.async_wait([weak = weak_from_this(), number = ++m_readNumber](beast::error_code error) {
        const auto self = weak.lock();
        // The read may have completed while this callback was queued.
        if (error || !self || self->m_readNumber != number)
            return;
        self->m_hasReadTimedOut = true;
        self->m_stream.cancel();
    });
}

void HttpSession::dispatch()
{
    // A request that has arrived whole is served also when its connection was displaced, while there is room for it.
    if (!m_owner->sessionChanged(this, ConnectionState::Busy)) {
        refuseForDescriptors();
        return;
    }
    m_isDisplaced = false;
    m_isReceiving = false;
    auto& body = m_parser->get().body();
    if (body.capacity() - body.size() > maxUnusedBytes)
        body.shrink_to_fit();
    m_lacksMemory = !memory().complete(completeBytes(), MonotonicClock().now());
    if (m_lacksMemory) {
        refuse({});
        return;
    }
    ++m_readNumber;
    m_readTimer.cancel();
    m_isBusy = true;
    m_hasReceivedRequest = true;
    auto message = m_parser->release();
    m_parser.reset();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    m_keepAlive = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    message.clear();
    m_exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request), std::move(m_memory));
    m_exchangeHold.expires_at(boost::asio::steady_timer::time_point::max());
    m_exchangeHold.async_wait([self = shared_from_this()](beast::error_code) {});
    if (m_buffer.size() > 0)
        countReadAhead();
    watchPeer();
    m_owner->handle(m_exchange);
}

void HttpSession::refuse(beast::error_code error)
{
    ++m_readNumber;
    m_readTimer.cancel();
    // A connection that closes or times out between two requests has sent no request that needs a response.
    const bool isIdle = m_parser && !m_parser->got_some() && m_buffer.size() == 0;
    const bool isOwnCancel = m_hasReadTimedOut || m_isDisplaced || m_lacksMemory;
    m_isReceiving = false;
    releaseRequest();
    if (!m_lacksMemory && (isIdle || (isDisconnect(error) && !isOwnCancel))) {
        close();
        return;
    }
    m_owner->sessionChanged(this, ConnectionState::Closing);
    if (m_isDisplaced) {
        refuseForDescriptors();
        return;
    }
    m_mustDrain = true;
    const auto reason = m_hasReadTimedOut ? beast::error_code(beast::error::timeout) : error;
    writeBufferedResponse(
        errorResponse(m_lacksMemory ? describeLackOfMemory() : describeReadFailure(reason, *m_owner->settings())),
        false);
}

// The connection is closed without reading the rest of the request, because its descriptor is needed now.
void HttpSession::refuseForDescriptors()
{
    ++m_readNumber;
    m_readTimer.cancel();
    m_isReceiving = false;
    releaseRequest();
    writeBufferedResponse(errorResponse(describeConnectionLimit()), false);
}

void HttpSession::respond(const std::shared_ptr<Exchange>& exchange, HttpResponse response)
{
    if (exchange != m_exchange || exchange->isAnswered() || m_isClosed)
        return;
    exchange->setAnswered();
    writeBufferedResponse(std::move(response), m_keepAlive && m_dropped == 0 && !m_owner->isStopping());
}

void HttpSession::writeBufferedResponse(HttpResponse response, bool keepAlive)
{
    m_response.emplace(static_cast<http::status>(response.status), 11);
    for (const auto& field : response.headers.fields())
        m_response->insert(field.name, field.value);
    m_response->keep_alive(keepAlive);
    if (keepAlive)
        m_response->insert(http::field::keep_alive, keepAliveText(*m_owner->settings()));
    m_response->body() = std::move(response.body);
    m_heldUntilSent = std::move(response.heldUntilSent);
    m_response->prepare_payload();
    m_isWriting = true;
    m_stream.expires_after(m_owner->settings()->writeTimeout);
    http::async_write(
        m_stream, *m_response, [self = shared_from_this(), keepAlive](beast::error_code error, std::size_t) {
            self->m_isWriting = false;
            self->m_isBusy = false;
            self->m_response.reset();
            self->m_heldUntilSent.reset();
            self->m_exchange.reset();
            if (!error && (self->m_mustDrain || self->m_dropped > 0))
                self->beginDrain();
            else if (error || !keepAlive)
                self->close();
            else
                self->awaitRequest();
        });
}

// Closing a connection with unread input resets it, and the reset can discard the error response before the peer reads
// it. So the rest of a refused request is read and discarded, within limits of time and size.
void HttpSession::beginDrain()
{
    m_owner->sessionChanged(this, ConnectionState::Closing);
    beast::error_code ignored;
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_never();
    startReadTimer(drainTime);
    drain(0);
}

// Waits for bytes before it reads them, so that a refused connection needs no buffer.
void HttpSession::drain(std::size_t drained)
{
    m_stream.socket().async_wait(
        net::ip::tcp::socket::wait_read, [self = shared_from_this(), drained](beast::error_code error) {
            if (error || self->m_isClosed)
                self->close();
            else
                self->drainReadable(drained);
        });
}

void HttpSession::drainReadable(std::size_t drained)
{
    char piece[drainPieceSize];
    auto& socket = m_stream.socket();
    beast::error_code error;
    socket.non_blocking(true, error);
    const auto size = socket.read_some(net::buffer(piece), error);
    if (error == net::error::would_block)
        drain(drained);
    else if (error || drained + size > drainLimit)
        close();
    else
        drain(drained + size);
}

void HttpSession::beginStream(
    const std::shared_ptr<Exchange>& exchange, const HttpResponse& head, std::shared_ptr<HttpBodySource> source)
{
    if (exchange != m_exchange || exchange->isAnswered() || m_source || m_isClosed)
        return;
    m_source = std::move(source);
    m_header.emplace(static_cast<http::status>(head.status), 11);
    for (const auto& field : head.headers.fields())
        m_header->insert(field.name, field.value);
    m_header->chunked(true);
    m_keepAlive = m_keepAlive && m_dropped == 0 && !m_owner->isStopping();
    m_header->keep_alive(m_keepAlive);
    if (m_keepAlive)
        m_header->insert(http::field::keep_alive, keepAliveText(*m_owner->settings()));
    m_headerSerializer.emplace(*m_header);
    m_isWriting = true;
    m_stream.expires_after(m_owner->settings()->writeTimeout);
    http::async_write_header(
        m_stream, *m_headerSerializer, [self = shared_from_this(), exchange](beast::error_code error, std::size_t) {
            self->pieceWritten(exchange, error, false);
        });
}

void HttpSession::upgrade(const std::shared_ptr<Exchange>& exchange, const HttpExchange::UpgradeCallback& callback)
{
    if (exchange != m_exchange || exchange->isAnswered() || m_isClosed)
        return;
    if (m_dropped > 0) {
        closeAndNotify();
        return;
    }
    exchange->setAnswered();
    m_isWriting = true;
    m_piece = "HTTP/1.1 200 Connection established\r\n\r\n";
    m_stream.expires_after(m_owner->settings()->writeTimeout);
    net::async_write(
        m_stream, net::buffer(m_piece), [self = shared_from_this(), callback](beast::error_code error, std::size_t) {
            self->m_isWriting = false;
            if (error || self->m_isClosed) {
                self->close();
                return;
            }
            self->m_isClosed = true;
            self->exchangeComplete();
            self->m_stream.expires_never();
            // Ends the wait for a disconnect of the peer.
            self->m_stream.cancel();
            self->notifyClosed();
            callback(self->m_stream.release_socket(), beast::buffers_to_string(self->m_buffer.data()));
        });
}

void HttpSession::pump(const std::shared_ptr<Exchange>& exchange)
{
    if (exchange != m_exchange || !m_source || m_isWriting || m_isClosed)
        return;
    auto piece = m_source->next();
    if (piece.bytes.empty() && !piece.isLast)
        return;
    m_isWriting = true;
    m_piece = std::move(piece.bytes);
    m_stream.expires_after(m_owner->settings()->writeTimeout);
    const auto written = [self = shared_from_this(), exchange, isLast = piece.isLast](
                             beast::error_code error, std::size_t) { self->pieceWritten(exchange, error, isLast); };
    if (!piece.isLast) {
        net::async_write(m_stream, http::make_chunk(net::buffer(m_piece)), written);
        return;
    }
    // The last piece and the terminating chunk are sent in one write.
    std::string end;
    if (!m_piece.empty()) {
        char length[20];
        const auto count = std::snprintf(length, sizeof(length), "%zx\r\n", m_piece.size());
        end.assign(length, static_cast<std::size_t>(count)).append(m_piece).append("\r\n");
    }
    m_piece = end.append("0\r\n\r\n");
    net::async_write(m_stream, net::buffer(m_piece), written);
}

void HttpSession::pieceWritten(const std::shared_ptr<Exchange>& exchange, beast::error_code error, bool wasLast)
{
    m_isWriting = false;
    if (error) {
        closeAndNotify();
        return;
    }
    m_stream.expires_never();
    if (wasLast) {
        exchange->setAnswered();
        streamComplete();
        return;
    }
    pump(exchange);
}

void HttpSession::streamComplete()
{
    exchangeComplete();
    m_source.reset();
    m_headerSerializer.reset();
    m_header.reset();
    if (m_dropped > 0)
        beginDrain();
    else if (m_keepAlive)
        awaitRequest();
    else
        close();
}

void HttpSession::exchangeComplete()
{
    m_isBusy = false;
    m_exchange.reset();
    m_exchangeHold.cancel();
}

// What the peer sends while its request is handled is read too, because a disconnect is seen only behind it.
void HttpSession::watchPeer()
{
    m_stream.socket().async_wait(
        net::ip::tcp::socket::wait_read, [self = shared_from_this(), exchange = m_exchange](beast::error_code error) {
            if (self->m_exchange == exchange)
                self->peerReadable(error);
        });
}

void HttpSession::peerReadable(beast::error_code error)
{
    if (error || m_isClosed)
        return;
    m_stream.socket().non_blocking(true, error);
    readAhead(error);
    // The socket may be reported readable for bytes that have already been read.
    if ((error && error != net::error::would_block) || m_dropped > drainLimit)
        closeAndNotify();
    else
        watchPeer();
}

// Keeps up to a header's size of what follows the request. If there is more, all further bytes are dropped, and the
// connection is closed after the response.
void HttpSession::readAhead(beast::error_code& error)
{
    const auto most = static_cast<std::size_t>(m_owner->settings()->maxHeaderBytes);
    auto& socket = m_stream.socket();
    if (m_dropped == 0 && m_buffer.size() < most) {
        const auto size = std::min(readAheadPieceSize, most - m_buffer.size());
        m_buffer.commit(socket.receive(m_buffer.prepare(size), 0, error));
        if (m_buffer.size() > 0)
            countReadAhead();
        else
            m_buffer.shrink_to_fit();
        return;
    }
    std::array<char, readAheadPieceSize> piece;
    m_dropped += socket.receive(net::buffer(piece), 0, error);
}

void HttpSession::countReadAhead()
{
    if (!memory().resize(m_buffer.capacity(), MonotonicClock().now()))
        dropReadAhead();
}

// The holding stays, because it may be in use.
void HttpSession::dropReadAhead()
{
    m_dropped += std::max<std::size_t>(m_buffer.size(), 1);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

void HttpSession::closeAndNotify()
{
    const auto exchange = m_exchange;
    close();
    if (exchange)
        exchange->notifyPeerDisconnected();
}

void HttpSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    exchangeComplete();
    m_source.reset();
    beast::error_code ignored;
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    m_stream.close();
    notifyClosed();
}

void HttpSession::notifyClosed()
{
    if (!std::exchange(m_isCloseNotified, true))
        m_owner->sessionClosed(this);
}

} // namespace lupinknot::internal
