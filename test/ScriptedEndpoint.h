// An endpoint whose responses are written byte by byte by a test.
//
// Runs on the io_context of the test, on the same thread as the code under test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lupinknot::internal {

// One connection to the endpoint.
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection> {
public:
    using OnRequest = std::function<void(ScriptedConnection&, const std::string& request)>;

    ScriptedConnection(boost::asio::ip::tcp::socket socket, OnRequest onRequest)
        : m_socket(std::move(socket))
        , m_onRequest(std::move(onRequest))
    {
    }

    void run() { read(); }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    // Sends a complete response with a Content-Length; each header line must end with CRLF.
    void answer(int status, const std::string& headerLines, const std::string& body)
    {
        send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headerLines
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void beginStream(const std::string& headerLines)
    {
        send("HTTP/1.1 200 OK\r\n" + headerLines + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void sendChunk(const std::string& piece)
    {
        char length[20];
        std::snprintf(length, sizeof(length), "%zx\r\n", piece.size());
        send(length + piece + "\r\n");
    }

    void sendEvent(int id) { sendChunk("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n"); }

    void endStream() { send("0\r\n\r\n"); }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }

    bool isClosedByPeer() const { return m_isClosedByPeer; }

private:
    void read()
    {
        m_socket.async_read_some(
            boost::asio::buffer(m_piece), [self = shared_from_this()](boost::system::error_code error, std::size_t n) {
                if (error) {
                    self->m_isClosedByPeer = error != boost::asio::error::operation_aborted;
                    return;
                }
                self->m_received.append(self->m_piece, n);
                self->takeRequests();
                self->read();
            });
    }

    void takeRequests()
    {
        const auto headEnd = m_received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        std::size_t length = 0;
        const auto field = m_received.find("Content-Length:");
        if (field < headEnd)
            length = std::stoul(m_received.substr(field + 15));
        if (m_received.size() < headEnd + 4 + length)
            return;
        const auto request = m_received.substr(0, headEnd + 4 + length);
        m_received.erase(0, request.size());
        m_onRequest(*this, request);
    }

    boost::asio::ip::tcp::socket m_socket;
    const OnRequest m_onRequest;
    char m_piece[4096];
    std::string m_received;
    bool m_isClosedByPeer { false };
};

class ScriptedEndpoint {
public:
    explicit ScriptedEndpoint(boost::asio::io_context& ioContext)
        : m_acceptor(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    // Sets the handler for each request; without one the endpoint does not respond.
    void onRequest(ScriptedConnection::OnRequest script) { m_script = std::move(script); }
    const ScriptedConnection::OnRequest& script() const { return m_script; }
    // Refuses new connections; open ones continue.
    void refuseConnections()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }
    // Resets the next connections as soon as they are established.
    void resetNext(unsigned connections) { m_toReset = connections; }
    std::int64_t port() const { return m_acceptor.local_endpoint().port(); }
    const std::vector<std::string>& requests() const { return m_requests; }
    const std::vector<std::shared_ptr<ScriptedConnection>>& connections() const { return m_connections; }
    // True when the request with this zero-based index contains the text.
    bool hasReceived(std::size_t number, const std::string& text) const
    {
        return number < m_requests.size() && m_requests[number].find(text) != std::string::npos;
    }
    void forgetRequests() { m_requests.clear(); }
    // Simulates a crash: open connections are reset and new ones refused.
    void crash()
    {
        for (const auto& connection : m_connections)
            connection->reset();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            if (m_toReset > 0) {
                --m_toReset;
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                socket.close();
                accept();
                return;
            }
            const auto connection = std::make_shared<ScriptedConnection>(
                std::move(socket), [this](ScriptedConnection& client, const std::string& request) {
                    m_requests.push_back(request);
                    if (m_script)
                        m_script(client, request);
                });
            m_connections.push_back(connection);
            connection->run();
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    ScriptedConnection::OnRequest m_script;
    std::vector<std::string> m_requests;
    std::vector<std::shared_ptr<ScriptedConnection>> m_connections;
    unsigned m_toReset { 0 };
};

} // namespace lupinknot::internal
