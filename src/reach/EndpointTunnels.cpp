#include "reach/EndpointTunnels.h"

#include "common/DescriptorUse.h"
#include "common/EventLog.h"
#include "http/HttpExchange.h"
#include "http/TunnelLink.h"
#include "reach/EndpointConnector.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelayMetrics.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace lupinknot::internal {

namespace net = boost::asio;

namespace {

constexpr unsigned forbiddenStatus = 403;
constexpr unsigned badGatewayStatus = 502;
constexpr unsigned unavailableStatus = 503;
// Largest number of tunnels, as a divisor of the limit of descriptors. Each takes two.
constexpr std::size_t descriptorDivisor = 8;

void logEnded(const TunnelLink& link, const std::string& address, const std::string& vmAddress, TunnelEnd end)
{
    const auto now = std::chrono::steady_clock::now();
    const auto msSince = [now](std::chrono::steady_clock::time_point instant) {
        return std::chrono::duration_cast<Milliseconds>(now - instant).count();
    };
    const auto isOrderly = end == TunnelEnd::CallerClosed || end == TunnelEnd::TargetClosed;
    LogEvent("tunnel.ended", isOrderly ? LogImportance::Routine : LogImportance::Notable)
        .text("address", address)
        .text("for_vm", vmAddress)
        .text("end", nameIn(tunnelEndNames, end))
        .number("open_ms", msSince(link.startedAt()))
        .number("idle_ms", msSince(link.lastUsedAt()))
        .write();
}

} // namespace

// A connection to an endpoint that is being established for another VM.
struct EndpointTunnels::Opening {
    Opening(net::io_context& ioContext, std::shared_ptr<HttpExchange> request)
        : exchange(std::move(request))
        , socket(ioContext)
        , timer(ioContext)
    {
    }

    std::shared_ptr<HttpExchange> exchange;
    std::unique_ptr<ConnectionPath> path;
    net::ip::tcp::socket socket;
    net::steady_timer timer;
    std::chrono::steady_clock::time_point startedAt { std::chrono::steady_clock::now() };
    bool isOver { false };
};

EndpointTunnels::EndpointTunnels(net::io_context& ioContext, EndpointConnector& connector,
    const EndpointDirectory& directory, RelayMetrics& metrics, std::size_t limit)
    : m_ioContext(ioContext)
    , m_connector(connector)
    , m_directory(directory)
    , m_metrics(metrics)
    , m_limit(limit)
    , m_self(std::make_shared<EndpointTunnels*>(this))
{
}

EndpointTunnels::~EndpointTunnels()
{
    for (const auto& link : m_links)
        link->close();
}

bool EndpointTunnels::isBusy(const TunnelLink& link)
{
    return link.isAnswerDue() || std::chrono::steady_clock::now() - link.lastUsedAt() < busyFor;
}

std::size_t EndpointTunnels::busyCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto& link) { return isBusy(*link); }));
}

void EndpointTunnels::closeIdle()
{
    m_links.remove_if([](const auto& link) {
        if (isBusy(*link))
            return false;
        link->close();
        return true;
    });
}

std::size_t EndpointTunnels::limit() const { return std::min(m_limit, descriptorLimit() / descriptorDivisor); }

void EndpointTunnels::reject(const std::shared_ptr<HttpExchange>& exchange, unsigned status, std::string_view reason)
{
    LogEvent("tunnel.rejected").text("address", exchange->request().target).text("reason", reason).write();
    m_metrics.tunnelsRejected.Increment();
    exchange->respond({ status, {}, "" });
}

void EndpointTunnels::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto endpoint = m_directory.findAt(exchange->request().target);
    const auto isFull = count() >= limit();
    if (m_isStopping || isFull || m_connector.isPartitioned()) {
        reject(exchange, unavailableStatus, m_isStopping ? "stopping" : isFull ? "full" : "partitioned");
        return;
    }
    if (!endpoint) {
        reject(exchange, forbiddenStatus, "unknown-endpoint");
        return;
    }
    const auto opening = std::make_shared<Opening>(m_ioContext, exchange);
    opening->path = m_connector.directPathTo(endpoint->entry().id);
    const auto hop = opening->path->next();
    ++m_pending;
    const auto ended = [self = std::weak_ptr(m_self), opening](HopResult result) {
        const auto tunnels = self.lock();
        if (!tunnels || std::exchange(opening->isOver, true))
            return;
        opening->timer.cancel();
        --(*tunnels)->m_pending;
        opening->path->noteResult(
            result, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - opening->startedAt));
        if (result == HopResult::Connected) {
            (*tunnels)->opened(opening);
            return;
        }
        boost::system::error_code ignored;
        opening->socket.close(ignored);
        (*tunnels)->reject(opening->exchange, badGatewayStatus, nameIn(hopResultNames, result));
    };
    opening->timer.expires_after(hop->timeout);
    opening->timer.async_wait([ended](boost::system::error_code error) {
        if (!error)
            ended(HopResult::TimedOut);
    });
    const auto& address = endpoint->entry().address;
    boost::system::error_code invalid;
    opening->socket.async_connect(
        { net::ip::make_address(address.host, invalid), static_cast<unsigned short>(address.port) },
        [ended](boost::system::error_code error) { ended(error ? HopResult::Refused : HopResult::Connected); });
}

void EndpointTunnels::opened(const std::shared_ptr<Opening>& opening)
{
    LogEvent("tunnel.opened", LogImportance::Routine).text("address", opening->exchange->request().target).write();
    m_metrics.tunnelsOpened.Increment();
    opening->exchange->upgrade(
        [self = std::weak_ptr(m_self), opening](net::ip::tcp::socket caller, std::string earlyBytes) {
            const auto tunnels = self.lock();
            if (!tunnels)
                return;
            auto& links = (*tunnels)->m_links;
            const auto place = links.insert(links.end(), nullptr);
            boost::system::error_code unknown;
            const auto vmAddress = caller.remote_endpoint(unknown).address().to_string();
            *place = TunnelLink::start(std::move(caller), std::move(opening->socket), std::move(earlyBytes),
                [self, place, vmAddress, address = opening->exchange->request().target](TunnelEnd end) {
                    const auto owner = self.lock();
                    if (!owner)
                        return;
                    logEnded(**place, address, vmAddress, end);
                    (*owner)->m_links.erase(place);
                });
        });
}

} // namespace lupinknot::internal
