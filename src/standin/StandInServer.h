// The common server of all stand-ins: threads, a listener, and faults that affect the whole process.
#pragma once

#include "http/HttpServer.h"
#include "lupinknot/Clock.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lupinknot::internal {

// Thread-safe.
class StandInServer {
public:
    StandInServer(std::string address, std::int64_t port, HttpServer::Handler);
    ~StandInServer();
    StandInServer(const StandInServer&) = delete;
    StandInServer& operator=(const StandInServer&) = delete;

    // Returns an error message on failure.
    std::optional<std::string> start();
    // Stops the threads. Call it before destroying objects that the handler uses.
    void stop();
    unsigned short port() const;
    boost::asio::io_context& ioContext() { return m_ioContext; }

    // Simulates a crash and restart of the process: resets all connections and refuses new ones for downTime.
    void crash(Milliseconds downTime);

private:
    void open();

    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    const std::string m_address;
    const HttpServer::Handler m_handler;
    boost::asio::steady_timer m_restartTimer;
    mutable std::mutex m_mutex;
    std::int64_t m_port;
    std::unique_ptr<HttpServer> m_server;
    std::vector<std::thread> m_threads;
};

} // namespace lupinknot::internal
