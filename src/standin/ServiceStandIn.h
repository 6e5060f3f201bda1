// A stand-in for a plain service that runs each call that it receives and counts the runs.
//
// It echoes the request as JSON. `GET /stats` returns how often each work id (header `X-Work-Id`) ran, and
// `POST /control` sets faults: {"refuse": true}, {"lose_answers": N} (runs the call, then resets the connection),
// {"delay_ms": N}, {"pause_ms": N}, {"crash": true, "down_ms": N}.
#pragma once

#include "lupinknot/MonotonicClock.h"
#include "standin/StandInServer.h"
#include <map>
#include <mutex>
#include <string>

namespace lupinknot::internal {

class HttpExchange;
struct HttpResponse;

// Thread-safe; one lock protects all state.
class ServiceStandIn {
public:
    ServiceStandIn(std::string name, std::string address, std::int64_t port);
    ~ServiceStandIn();
    ServiceStandIn(const ServiceStandIn&) = delete;
    ServiceStandIn& operator=(const ServiceStandIn&) = delete;

    std::optional<std::string> start() { return m_server.start(); }
    unsigned short port() const { return m_server.port(); }
    bool control(const std::string& json);
    std::size_t runsOf(const std::string& workId) const;

private:
    void handle(const std::shared_ptr<HttpExchange>&);
    void run(const std::shared_ptr<HttpExchange>&);
    void respondAfterDelay(const std::shared_ptr<HttpExchange>&, HttpResponse, Milliseconds delay);
    HttpResponse stats() const;

    const std::string m_name;
    MonotonicClock m_clock;
    mutable std::mutex m_mutex;
    // m_mutex protects the members below.
    std::map<std::string, std::size_t> m_runs;
    std::size_t m_responsesToLose { 0 };
    Milliseconds m_delay { 0 };
    Milliseconds m_pausedUntil { 0 };
    bool m_refuses { false };

    StandInServer m_server;
};

} // namespace lupinknot::internal
