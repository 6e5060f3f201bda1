#include "relay/StartupQueue.h"

#include "common/EventLog.h"
#include "http/HttpExchange.h"
#include "relay/RelayContext.h"

#include <algorithm>

namespace lupinknot::internal {

StartupQueue::StartupQueue(RelayContext& context, ReleaseCallback onReleased)
    : m_context(context)
    , m_onReleased(std::move(onReleased))
{
}

bool StartupQueue::hold(const Request& request, Milliseconds until)
{
    const auto place = m_context.waitingRequestLimit.enter(
        { request.exchange->request().body.size(), { request.rank, request.arrivedAt } }, m_context.now(),
        [this, request] {
            if (remove(request.exchange))
                m_onReleased(request);
        });
    if (!place)
        return false;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context.ioContext);
    timer->expires_after(until - m_context.now());
    timer->async_wait([this, request](boost::system::error_code error) {
        if (!error && remove(request.exchange))
            m_onReleased(request);
    });
    m_held.push_back({ request, std::move(timer), *place });
    request.exchange->onPeerDisconnected([this, weak = std::weak_ptr(request.exchange)] {
        if (const auto exchange = weak.lock())
            remove(exchange);
    });
    return true;
}

void StartupQueue::release()
{
    // A request is held again if the configuration or the endpoints are still missing.
    for (const auto& held : std::exchange(m_held, {})) {
        m_context.waitingRequestLimit.leave(held.place);
        m_onReleased(held.request);
    }
}

bool StartupQueue::remove(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto found = std::find_if(
        m_held.begin(), m_held.end(), [&exchange](const Held& held) { return held.request.exchange == exchange; });
    if (found == m_held.end())
        return false;
    m_context.waitingRequestLimit.leave(found->place);
    m_held.erase(found);
    return true;
}

} // namespace lupinknot::internal
