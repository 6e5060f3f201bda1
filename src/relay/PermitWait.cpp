#include "relay/PermitWait.h"

#include "common/EventLog.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

std::shared_ptr<PermitWait> PermitWait::start(
    RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, Milliseconds patience, Callback callback)
{
    std::shared_ptr<PermitWait> wait(new PermitWait(context, std::move(endpoint), std::move(callback)));
    const auto& asked = *wait->m_endpoint;
    context.permits->ask({ asked.entry().incarnationName(), asked.limitNews(context.now()), patience },
        [weak = wait->weak_from_this()](const PermitAnswer& answer) {
            if (const auto self = weak.lock())
                self->answered(answer);
        });
    return wait;
}

PermitWait::PermitWait(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, Callback callback)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_callback(std::move(callback))
    , m_timer(context.ioContext)
{
}

void PermitWait::answered(const PermitAnswer& answer)
{
    const auto now = m_context.now();
    m_endpoint->noteLimitNews(answer.report, now);
    LogEvent("endpoint.permit", answer.isGranted ? LogImportance::Routine : LogImportance::Notable)
        .text("endpoint", m_endpoint->entry().id)
        .flag("granted", answer.isGranted)
        .number("wait_ms", answer.wait.count())
        .write();
    (answer.isGranted ? m_context.metrics.permitsGranted : m_context.metrics.permitsDenied).Increment();
    if (!answer.isGranted) {
        m_endpoint->denyPermitsUntil(now + answer.wait);
        settle(false);
        return;
    }
    m_perSecond = m_endpoint->limit().perSecond();
    if (answer.wait == Milliseconds { 0 }) {
        placeCame();
        return;
    }
    m_timer.expires_after(answer.wait);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->placeCame();
    });
}

// What the endpoint has said meanwhile goes before the permit.
void PermitWait::placeCame()
{
    const auto perSecond = m_endpoint->limit().perSecond();
    const bool hasFallen = perSecond && (!m_perSecond || *perSecond < *m_perSecond);
    const bool mayTakeWork = m_endpoint->mayTakeWork(m_context.now(), m_context.settings.leavingEndpointGrace);
    settle(!hasFallen && mayTakeWork);
}

void PermitWait::settle(bool isGranted)
{
    const auto self = shared_from_this();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(isGranted);
}

} // namespace lupinknot::internal
