#include "daemon/KeyedRequestRouter.h"

#include "common/Log.h"
#include "daemon/Cluster.h"
#include "daemon/ForwardedRequest.h"
#include "http/HttpExchange.h"
#include "http/JsonError.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdlib>

namespace lupinknot::internal {

namespace {

// A request is forwarded to the responsible VM, and from there to the VM that runs it.
constexpr unsigned maxHops = 3;
// Number and interval of the retries when the VM that a request was forwarded to is lost.
constexpr unsigned maxTries = 200;
constexpr Milliseconds retryInterval { 10 };

unsigned hopsOf(const HttpRequest& request)
{
    const auto value = request.headers.find(ForwardedRequest::hopsHeader);
    return value ? static_cast<unsigned>(std::strtoul(std::string(*value).c_str(), nullptr, 10)) : 0;
}

} // namespace

KeyedRequestRouter::KeyedRequestRouter(const GenerationContext& context)
    : m_context(context)
{
}

void KeyedRequestRouter::route(
    const std::shared_ptr<HttpExchange>& exchange, const std::string& key, const KeyedRequestActions& actions) const
{
    tryRoute(exchange, key, actions, 0);
}

void KeyedRequestRouter::tryRoute(const std::shared_ptr<HttpExchange>& exchange, const std::string& key,
    const KeyedRequestActions& actions, unsigned tries) const
{
    if (actions.isRunningHere()) {
        actions.serve();
        return;
    }
    const bool isForwarded = hopsOf(exchange->request()) > 0;
    m_context.cluster.place(key, isForwarded, [this, exchange, key, actions, tries](const KeyPlacement& placement) {
        handlePlacement(exchange, key, actions, tries, placement);
    });
}

void KeyedRequestRouter::handlePlacement(const std::shared_ptr<HttpExchange>& exchange, const std::string& key,
    const KeyedRequestActions& actions, unsigned tries, const KeyPlacement& placement) const
{
    using Kind = KeyPlacement::Kind;
    const auto retryAfter = m_context.settings.generation.retryAfter;
    if (placement.kind == Kind::Here)
        actions.serve();
    else if (placement.kind == Kind::TakeOver)
        actions.takeOver();
    else if (placement.kind == Kind::Refuse)
        actions.refuse({ 503, "runner_unreachable",
            "the VM that runs the request cannot be reached, and the request must not be repeated", "",
            RunOutcome::Unknown, retryAfter });
    else if (tries >= maxTries || hopsOf(exchange->request()) >= maxHops)
        actions.refuse({ 503, "not_settled", "the VMs do not agree yet on who is responsible for the key", "",
            RunOutcome::Unknown, retryAfter });
    else
        forward(exchange, key, actions, tries, placement.target);
}

void KeyedRequestRouter::forward(const std::shared_ptr<HttpExchange>& exchange, const std::string& key,
    const KeyedRequestActions& actions, unsigned tries, const PeerIdentity& target) const
{
    logInfo(
        LogComponent::Route, "a request with a key is forwarded to VM " + target.vm + ", which is responsible for it.");
    const auto forwarded = std::make_shared<ForwardedRequest>(m_context, exchange, target.vm);
    // The links between VMs detect a loss slightly later than the call does.
    forwarded->onLost([this, exchange, key, actions, tries] {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context.ioContext, retryInterval);
        timer->async_wait([this, timer, exchange, key, actions, tries](boost::system::error_code error) {
            if (!error)
                tryRoute(exchange, key, actions, tries + 1);
        });
    });
    forwarded->start({ target.callerAddress, target.callerPort }, hopsOf(exchange->request()) + 1);
}

} // namespace lupinknot::internal
