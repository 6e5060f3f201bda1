#include "standin/ServiceStandIn.h"

#include "http/HttpExchange.h"
#include "http/JsonError.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr Milliseconds shortOutage { 1 };

HttpResponse jsonResponse(const json& body)
{
    return { 200, { { "Content-Type", "application/json" } },
        body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace

ServiceStandIn::ServiceStandIn(std::string name, std::string address, std::int64_t port)
    : m_name(std::move(name))
    , m_server(std::move(address), port, [this](const auto& exchange) { handle(exchange); })
{
}

ServiceStandIn::~ServiceStandIn() { m_server.stop(); }

bool ServiceStandIn::control(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return false;
    const std::lock_guard lock(m_mutex);
    m_refuses = body.value("refuse", m_refuses);
    m_responsesToLose = body.value("lose_answers", m_responsesToLose);
    m_delay = Milliseconds { body.value("delay_ms", m_delay.count()) };
    if (body.contains("pause_ms"))
        m_pausedUntil = m_clock.now() + Milliseconds { body["pause_ms"].get<std::int64_t>() };
    if (body.value("crash", false))
        m_server.crash(Milliseconds { body.value("down_ms", std::int64_t { 1000 }) });
    return true;
}

std::size_t ServiceStandIn::runsOf(const std::string& workId) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_runs.find(workId);
    return entry == m_runs.end() ? 0 : entry->second;
}

void ServiceStandIn::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "GET" && request.path() == "/stats") {
        exchange->respond(stats());
        return;
    }
    if (request.method == "POST" && request.path() == "/control") {
        const bool isApplied = control(request.body);
        exchange->respond(isApplied
                ? jsonResponse({ { "ok", true } })
                : errorResponse({ 400, "bad_control", "the control call cannot be read", "", RunOutcome::NotRun, {} }));
        return;
    }
    run(exchange);
}

void ServiceStandIn::run(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const std::lock_guard lock(m_mutex);
    if (m_refuses) {
        exchange->respond(
            errorResponse({ 503, "overloaded", "the service takes no more work", "", RunOutcome::NotRun, {} }));
        return;
    }
    if (const auto workId = request.headers.find("X-Work-Id"))
        ++m_runs[std::string(*workId)];
    if (m_responsesToLose) {
        --m_responsesToLose;
        m_server.crash(shortOutage);
        return;
    }
    auto headers = json::object();
    for (const auto& field : request.headers.fields())
        headers[field.name] = field.value;
    auto response = jsonResponse({ { "service", m_name }, { "method", request.method }, { "target", request.target },
        { "headers", headers }, { "body", request.body } });
    response.headers.add("X-Service", m_name);
    const auto pauseLeft = m_pausedUntil - m_clock.now();
    respondAfterDelay(exchange, std::move(response), std::max(m_delay, pauseLeft));
}

void ServiceStandIn::respondAfterDelay(
    const std::shared_ptr<HttpExchange>& exchange, HttpResponse response, Milliseconds delay)
{
    if (delay <= Milliseconds::zero()) {
        exchange->respond(std::move(response));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_server.ioContext(), delay);
    timer->async_wait([exchange, timer, response = std::move(response)](boost::system::error_code error) {
        if (!error)
            exchange->respond(response);
    });
}

HttpResponse ServiceStandIn::stats() const
{
    const std::lock_guard lock(m_mutex);
    return jsonResponse({ { "name", m_name }, { "runs", m_runs } });
}

} // namespace lupinknot::internal
