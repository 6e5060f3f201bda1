// A stand-in for the platform: the list of endpoints, which lags, and the transactional table service.
//
// `GET /v1/endpoints` answers with the list as it was set a while ago. `GET /v1/table/KEY` answers with a row and its
// revision in `ETag`; `PUT /v1/table/KEY` writes it if `If-Match` names the present revision (0 for no row), else
// answers 412. `POST /control` sets the list and faults: {"endpoints": [{"name", "state"}], "lag_ms": N,
// "outage_ms": N, "delay_ms": N, "lose_answers": N}. An answer that is lost is that of a write that took effect.
#pragma once

#include "lupinknot/MonotonicClock.h"
#include "standin/StandInServer.h"
#include <map>
#include <mutex>
#include <string>

namespace lupinknot::internal {

class HttpExchange;
struct HttpResponse;

// Thread-safe, under one lock.
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
    void answer(const std::shared_ptr<HttpExchange>&);
    HttpResponse list() const;
    HttpResponse readRow(const std::string& key) const;
    HttpResponse writeRow(const std::string& key, const std::string& expected, const std::string& value);
    HttpResponse stats() const;

    MonotonicClock m_clock;
    mutable std::mutex m_mutex;
    // All that follows is under the lock.
    std::string m_list { R"({"endpoints":[]})" };
    std::string m_nextList;
    Milliseconds m_nextListFrom { Milliseconds::max() };
    Milliseconds m_outageUntil { 0 };
    Milliseconds m_delay { 0 };
    std::size_t m_answersToLose { 0 };
    std::map<std::string, Row> m_table;
    std::uint64_t m_reads { 0 };
    std::uint64_t m_writes { 0 };

    StandInServer m_server;
};

} // namespace lupinknot::internal
