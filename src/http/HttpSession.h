// One connection of an HttpServer: reads a request, passes it to the handler, writes the response, and repeats.
#pragma once

#include "http/ConnectionState.h"
#include "http/HttpExchange.h"
#include "http/HttpServerSettings.h"
#include "http/RequestBody.h"
#include "http/RequestMemory.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace lupinknot::internal {

class HttpSession;

// What a session needs from the server that opened it.
class HttpSessionOwner {
public:
    virtual ~HttpSessionOwner() = default;
    // The current settings. A change does not affect a settings object that a session already holds.
    virtual std::shared_ptr<const HttpServerSettings> settings() const = 0;
    // The memory of all requests.
    virtual RequestMemory& requestMemory() const = 0;
    virtual bool isStopping() const = 0;
    virtual void handle(const std::shared_ptr<HttpExchange>&) = 0;
    // Returns false if the session must refuse its request.
    virtual bool sessionChanged(HttpSession*, ConnectionState) = 0;
    // More of the body of the session's request has arrived.
    virtual void sessionProgressed(HttpSession*) = 0;
    // Called once, when the session has closed or handed over its connection.
    virtual void sessionClosed(HttpSession*) = 0;
};

// All state is accessed on the connection's strand only. Each request has its own exchange, which outlives the session
// if a handler still holds it. The session is owned by its pending operations and, while a request is being handled and
// no other operation may be pending, by the wait on m_exchangeHold.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(boost::asio::ip::tcp::socket, std::shared_ptr<HttpSessionOwner>);
    ~HttpSession();
    HttpSession(const HttpSession&) = delete;
    HttpSession& operator=(const HttpSession&) = delete;

    void run();
    // Answers that there are too many connections. If mayDrain is false, the connection is closed without reading what
    // the peer has sent, which can destroy the answer on its way.
    void refuseForConnectionLimit(bool mayDrain);
    // Closes the connection if no request has begun on it, or refuses a request that is incomplete.
    // Thread-safe.
    void displace();
    // Resets the connection. Thread-safe.
    void abort();
    // Closes the connection if no part of a request has arrived on it. Thread-safe.
    void closeIfIdle();
    // True from the last byte of a request to the last byte of its response. Thread-safe.
    bool isBusy() const { return m_isBusy; }

private:
    class Exchange;
    using Request = boost::beast::http::request_parser<RequestBody>;
    using BufferedResponse = boost::beast::http::response<boost::beast::http::string_body>;
    using StreamHeader = boost::beast::http::response<boost::beast::http::empty_body>;
    using StreamHeaderSerializer = boost::beast::http::response_serializer<boost::beast::http::empty_body>;

    void awaitRequest();
    void closeIfNothingArrived();
    void readRequest();
    void readSome();
    void received(boost::beast::error_code, std::size_t size);
    void parse();
    void parseBuffer(boost::beast::error_code&);
    // Returns false when the request is refused because others need the connection's descriptor.
    bool keepsConnection(bool wasHeaderDone);
    // The memory that the request needs: while it is read, and once it has arrived whole.
    std::size_t receivedBytes() const;
    std::size_t completeBytes() const;
    RequestMemory::Holding& memory();
    void lacksMemory();
    void releaseRequest();
    void startReadTimer(Milliseconds);
    void dispatch();
    void refuse(boost::beast::error_code);
    void refuseForDescriptors();
    void notifyClosed();
    void respond(const std::shared_ptr<Exchange>&, HttpResponse);
    void beginStream(const std::shared_ptr<Exchange>&, const HttpResponse& head, std::shared_ptr<HttpBodySource>);
    void upgrade(const std::shared_ptr<Exchange>&, const HttpExchange::UpgradeCallback&);
    void pump(const std::shared_ptr<Exchange>&);
    void writeBufferedResponse(HttpResponse, bool keepAlive);
    void beginDrain();
    void drain(std::size_t drained);
    void drainReadable(std::size_t drained);
    void pieceWritten(const std::shared_ptr<Exchange>&, boost::beast::error_code, bool wasLast);
    void streamComplete();
    void exchangeComplete();
    void watchPeer();
    void peerReadable(boost::beast::error_code);
    void readAhead(boost::beast::error_code&);
    // Counts what is kept of the next request; drops it when requests need too much memory.
    void countReadAhead();
    void dropReadAhead();
    void closeAndNotify();
    void close();

    boost::beast::tcp_stream m_stream;
    const std::shared_ptr<HttpSessionOwner> m_owner;
    boost::beast::flat_buffer m_buffer;
    std::optional<Request> m_parser;
    // Memory of the header's fields, once they have been parsed.
    std::size_t m_fieldBytes { 0 };
    // Null before the first bytes of a request. Once it is handled, that of the next request.
    std::unique_ptr<RequestMemory::Holding> m_memory;
    std::optional<BufferedResponse> m_response;
    std::shared_ptr<void> m_heldUntilSent;
    std::optional<StreamHeader> m_header;
    std::optional<StreamHeaderSerializer> m_headerSerializer;
    std::shared_ptr<Exchange> m_exchange;
    // An endless wait that owns the session. Unlike a shared pointer to itself, it is released with the io_context.
    boost::asio::steady_timer m_exchangeHold;
    std::shared_ptr<HttpBodySource> m_source;
    std::string m_piece;
    bool m_isWriting { false };
    bool m_isClosed { false };
    bool m_isCloseNotified { false };
    // Others need the connection's descriptor.
    bool m_isDisplaced { false };
    bool m_hasReceivedRequest { false };
    // True while a request is being read.
    bool m_isReceiving { false };
    // Size of the body when the owner was last told of its progress.
    std::size_t m_reportedBodyBytes { 0 };
    // Bytes that were dropped, because the peer has sent more than a header's size after its request, or because
    // requests need too much memory.
    std::size_t m_dropped { 0 };
    bool m_keepAlive { false };
    std::atomic<bool> m_isBusy { false };
    bool m_mustDrain { false };
    // True while the connection is idle between two requests.
    bool m_isIdle { false };
    // The stream's built-in timeout closes the connection, so that no error response could be sent. This timer only
    // cancels the read.
    boost::asio::steady_timer m_readTimer;
    unsigned m_readNumber { 0 };
    bool m_hasReadTimedOut { false };
    // True when the request that is being read is refused because requests need too much memory.
    bool m_lacksMemory { false };
};

} // namespace lupinknot::internal
