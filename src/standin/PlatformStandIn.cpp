#include "standin/PlatformStandIn.h"

#include "http/HttpExchange.h"
#include "http/JsonError.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr std::string_view tablePath = "/v1/table/";
constexpr Milliseconds shortOutage { 1 };

HttpResponse jsonText(std::string text) { return { 200, { { "Content-Type", "application/json" } }, std::move(text) }; }

HttpResponse jsonError(unsigned status, const std::string& code, const std::string& message)
{
    return errorResponse({ status, code, message, "", RunOutcome::NotRun, {} });
}

} // namespace

PlatformStandIn::PlatformStandIn(std::string address, std::int64_t port)
    : m_server(std::move(address), port, [this](const auto& exchange) { handle(exchange); })
{
}

PlatformStandIn::~PlatformStandIn() { m_server.stop(); }

bool PlatformStandIn::control(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return false;
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    if (body.contains("endpoints")) {
        m_nextList = json { { "endpoints", body["endpoints"] } }.dump();
        m_nextListVisibleAt = now + Milliseconds { body.value("lag_ms", std::int64_t { 0 }) };
    }
    if (body.contains("outage_ms"))
        m_outageUntil = now + Milliseconds { body["outage_ms"].get<std::int64_t>() };
    m_delay = Milliseconds { body.value("delay_ms", m_delay.count()) };
    m_responsesToLose = body.value("lose_answers", m_responsesToLose);
    return true;
}

void PlatformStandIn::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "POST" && request.path() == "/control") {
        const bool isApplied = control(request.body);
        exchange->respond(
            isApplied ? jsonText(R"({"ok":true})") : jsonError(400, "bad_control", "the control call cannot be read"));
        return;
    }
    Milliseconds delay;
    {
        const std::lock_guard lock(m_mutex);
        delay = m_delay;
    }
    if (delay <= Milliseconds::zero()) {
        dispatch(exchange);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_server.ioContext(), delay);
    timer->async_wait([this, exchange, timer](boost::system::error_code error) {
        if (!error)
            dispatch(exchange);
    });
}

void PlatformStandIn::dispatch(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto path = request.path();
    const std::lock_guard lock(m_mutex);
    if (m_clock.now() < m_outageUntil) {
        exchange->respond(jsonError(503, "outage", "the platform is down"));
        return;
    }
    if (m_clock.now() >= m_nextListVisibleAt) {
        m_list = m_nextList;
        m_nextListVisibleAt = Milliseconds::max();
    }
    const bool isRow = path.substr(0, tablePath.size()) == tablePath;
    const std::string key(isRow ? path.substr(tablePath.size()) : std::string_view());
    if (path == "/v1/endpoints") {
        exchange->respond(list());
    } else if (path == "/stats") {
        exchange->respond(stats());
    } else if (isRow && request.method == "GET") {
        ++m_reads;
        exchange->respond(readRow(key));
    } else if (isRow && request.method == "PUT") {
        ++m_writes;
        const auto response = writeRow(key, std::string(request.headers.find("If-Match").value_or("0")), request.body);
        if (response.status == 200 && m_responsesToLose) {
            --m_responsesToLose;
            m_server.crash(shortOutage);
            return;
        }
        exchange->respond(response);
    } else {
        exchange->respond(jsonError(404, "not_found", "nothing is here"));
    }
}

HttpResponse PlatformStandIn::list() const { return jsonText(m_list); }

HttpResponse PlatformStandIn::readRow(const std::string& key) const
{
    const auto entry = m_table.find(key);
    if (entry == m_table.end())
        return jsonError(404, "no_row", "no such row");
    auto response = jsonText(entry->second.value);
    response.headers.add("ETag", std::to_string(entry->second.revision));
    return response;
}

HttpResponse PlatformStandIn::writeRow(const std::string& key, const std::string& expected, const std::string& value)
{
    auto& row = m_table[key];
    if (expected != std::to_string(row.revision))
        return jsonError(412, "conflict", "the row has revision " + std::to_string(row.revision));
    row.value = value;
    auto response = jsonText(R"({"ok":true})");
    response.headers.add("ETag", std::to_string(++row.revision));
    return response;
}

HttpResponse PlatformStandIn::stats() const
{
    return jsonText(json { { "reads", m_reads }, { "writes", m_writes } }.dump());
}

} // namespace lupinknot::internal
