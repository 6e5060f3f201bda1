#include "relay/PermitWait.h"

#include "common/EventLog.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

std::shared_ptr<PermitWait> PermitWait::start(
    RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, Milliseconds maxWait, Callback callback)
{
    std::shared_ptr<PermitWait> wait(new PermitWait(context, std::move(endpoint), std::move(callback)));
    wait->m_request = wait->m_endpoint->permitRequest(maxWait, context.now());
    context.permits->ask(wait->m_request, [weak = wait->weak_from_this()](const PermitAnswer& answer) {
        if (const auto self = weak.lock())
            self->handleAnswer(answer);
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

void PermitWait::handleAnswer(const PermitAnswer& answer)
{
    const auto now = m_context.now();
    m_endpoint->notePermitAnswer(m_request, answer.report, now);
    LogEvent("endpoint.permit", answer.isGranted ? LogImportance::Routine : LogImportance::Notable)
        .text("endpoint", m_endpoint->entry().id)
        .flag("granted", answer.isGranted)
        .number("wait_ms", answer.wait.count())
        .write();
    (answer.isGranted ? m_context.metrics.permitsGranted : m_context.metrics.permitsDenied).Increment();
    if (!answer.isGranted) {
        m_endpoint->denyPermitsUntil(now + answer.wait);
        finish(false);
        return;
    }
    m_grantedPerSecond = m_endpoint->limit().perSecond();
    if (answer.wait == Milliseconds { 0 }) {
        slotReached();
        return;
    }
    m_timer.expires_after(answer.wait);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->slotReached();
    });
}

// What the endpoint has announced since overrides the permit: a lower limit, a back-off or its shutdown.
void PermitWait::slotReached()
{
    const auto perSecond = m_endpoint->limit().perSecond();
    const bool hasLimitFallen = perSecond && (!m_grantedPerSecond || *perSecond < *m_grantedPerSecond);
    const bool mayTakeWork = m_endpoint->mayTakeWork(m_context.now(), m_context.settings.removedEndpointGrace);
    finish(!hasLimitFallen && mayTakeWork);
}

void PermitWait::finish(bool isGranted)
{
    const auto self = shared_from_this();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(isGranted);
}

} // namespace lupinknot::internal
