// A stand-in for the platform: the endpoint list, which is delayed, and the transactional table service.
//
// `GET /v1/endpoints` returns the list with the delay lag_ms. `GET /v1/table/KEY` returns a row and its revision in
// `ETag`; `PUT /v1/table/KEY` writes the row if `If-Match` states the current revision (0 for no row), else it responds
// with 412. `POST /control` sets the list and faults: {"endpoints": [{"name", "state"}], "lag_ms": N, "outage_ms": N,
// "delay_ms": N, "lose_answers": N}. lose_answers drops responses to writes that took effect.
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
class PlatformStandIn {
public:
    PlatformStandIn(std::string address, std::int64_t port);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn&) = delete;
    PlatformStandIn& operator=(const PlatformStandIn&) = delete;

    std::optional<std::string> start() { return m_server.start(); }
    unsigned short port() const { return m_server.port(); }
    bool control(const std::string& json);

private:
    struct Row {
        std::uint64_t revision { 0 };
        std::string value;
    };

    void handle(const std::shared_ptr<HttpExchange>&);
    void dispatch(const std::shared_ptr<HttpExchange>&);
    HttpResponse list() const;
    HttpResponse readRow(const std::string& key) const;
    HttpResponse writeRow(const std::string& key, const std::string& expected, const std::string& value);
    HttpResponse stats() const;

    MonotonicClock m_clock;
    mutable std::mutex m_mutex;
    // m_mutex protects the members below.
    std::string m_list { R"({"endpoints":[]})" };
    std::string m_nextList;
    Milliseconds m_nextListVisibleAt { Milliseconds::max() };
    Milliseconds m_outageUntil { 0 };
    Milliseconds m_delay { 0 };
    std::size_t m_responsesToLose { 0 };
    std::map<std::string, Row> m_table;
    std::uint64_t m_reads { 0 };
    std::uint64_t m_writes { 0 };

    StandInServer m_server;
};

} // namespace lupinknot::internal
