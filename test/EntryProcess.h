// The real lupinknot-entry as a child process on loopback, with the store and a plain endpoint in the test's process.
//
//     EntryProcess vm(ioContext, { .memoryMegabytes = 64 });
//     if (const auto problem = vm.start()) ...
//     vm.answerTo("/calls/1");                 // The status of an ordinary request.
//     vm.peakMemory();
//
// Used on the thread that runs the io_context. The destructor ends the process.
#pragma once

#include "ChildProcess.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/HttpServer.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "standin/StoreStandIn.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace lupinknot::platform {

struct EntryProcessSettings {
    // The memory of the machine that the settings file states.
    std::int64_t memoryMegabytes { 64 };
    // Limits in the configuration that the operator writes.
    std::int64_t maxHeaderBytes { 16 * internal::kibibyte };
    std::int64_t maxBodyBytes { 4 * internal::mebibyte };
    std::int64_t idleTimeoutMilliseconds { 15000 };
    // Limit of open descriptors of the process; nothing: that of the test's process.
    std::optional<std::size_t> maxDescriptors {};
    // Bytes of comment in the settings file, which make reading it take longer.
    std::size_t settingsComment { 0 };
    // The log is a pipe that nobody reads.
    bool isLogUnread { false };
};

class EntryProcess {
public:
    EntryProcess(boost::asio::io_context&, EntryProcessSettings);
    ~EntryProcess();
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    // Starts the process and waits until it serves requests. Returns the error text, or nothing on success.
    std::optional<std::string> start();
    // Starts the process only.
    std::optional<std::string> launch();
    // True while the process reads its settings file.
    bool isReadingSettings() const;
    // Writes to a log that is not read until it takes no more.
    void fillLog() const;
    // Sends a request and runs the event loop until it is answered. Returns the status, 0 without an answer.
    unsigned answerTo(const std::string& target, const std::string& body = "");
    // The bytes of a request's header up to its length: request line, host, id and deadline.
    std::string requestHead(const std::string& target);

    bool isRunning() { return m_process && m_process->isRunning(); }
    // How the process ended.
    std::string lastExit() const { return m_process ? m_process->lastExit() : ""; }
    void signal(int number);
    // Sends SIGTERM.
    void requestStop();
    // False when connections of callers are refused.
    bool isListening();
    // The most memory that the process has had resident, in bytes.
    std::size_t peakMemory() const { return memoryOf("VmHWM:"); }
    std::size_t residentMemory() const { return memoryOf("VmRSS:"); }
    std::size_t openDescriptors() const;
    // Bytes of callers that the process has not read yet.
    std::size_t unreadBytes() const;
    // Whether the process answers at its readiness address that it serves requests.
    bool isReady();
    // The text of the metrics page.
    std::string metrics();
    // The text of the process's log, unless the log is not read.
    std::string log() const;

    const internal::SocketAddress& front() const { return m_front; }
    // Where the process serves other VMs.
    const internal::SocketAddress& peers() const { return m_peers; }
    const internal::SocketAddress& readinessAddress() const { return m_ready; }
    const internal::SocketAddress& metricsAddress() const { return m_metrics; }
    internal::SocketAddress endpoint() const { return { m_host, m_endpoint.port() }; }
    StoreStandIn& store() { return m_store; }

    // How the endpoint answers: the time that it takes, and the size of the body.
    Milliseconds callTime { 0 };
    std::size_t answerBytes { 6 };
    // Requests that the endpoint has received.
    std::size_t endpointRequests() const { return m_endpointRequests; }
    // True when it has sent the answers to all of them.
    bool hasEndpointAnswered() const { return m_endpoint.busyCount() == 0; }

private:
    void writeConfiguration();
    void writeSettings() const;
    void serveAsEndpoint(const std::shared_ptr<internal::HttpExchange>&);
    std::size_t memoryOf(const std::string& field) const;
    std::optional<internal::HttpResponse> ask(const internal::SocketAddress&, const internal::HttpRequest&);

    boost::asio::io_context& m_ioContext;
    const EntryProcessSettings m_settings;
    const std::string m_host;
    const std::string m_folder;
    const internal::SocketAddress m_front;
    const internal::SocketAddress m_ready;
    const internal::SocketAddress m_metrics;
    const internal::SocketAddress m_peers;
    StoreStandIn m_store;
    internal::HttpServer m_endpoint;
    std::size_t m_endpointRequests { 0 };
    std::uint64_t m_lastRequest { 0 };
    // The end of the log's pipe that is not read.
    int m_logReader { -1 };
    std::unique_ptr<soak::ChildProcess> m_process;
};

} // namespace lupinknot::platform
