#include "health/EndpointFailureCheck.h"

#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

namespace {

FailureEvidence evidenceOf(const HttpRoundTripResult& outcome)
{
    if (outcome.isBroken)
        return FailureEvidence::Failed;
    return outcome.isConnected ? FailureEvidence::Silent : FailureEvidence::Unreachable;
}

} // namespace

void EndpointFailureCheck::start(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint)
{
    if (endpoint->isInBackOff(context.now()))
        return;
    const std::shared_ptr<EndpointFailureCheck> check(new EndpointFailureCheck(context, std::move(endpoint)));
    const auto timeout = context.settings.probeTimeout;
    context.metrics.engineProbes.Increment();
    check->m_probe = HttpRoundTrip::ask(context.ioContext, check->m_endpoint->openConnection(),
        context.protocol.encodeStateQuery(), timeout,
        [weak = check->weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->handleAnswer(outcome);
        });
    check->m_lifetime.expires_after(2 * timeout);
    check->m_lifetime.async_wait([check](boost::system::error_code) {});
}

EndpointFailureCheck::EndpointFailureCheck(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_startedAt(context.now())
    , m_lifetime(context.ioContext)
{
}

void EndpointFailureCheck::handleAnswer(const HttpRoundTripResult& outcome)
{
    m_lifetime.cancel();
    // The answer may wait in a socket while this VM stands still.
    if (!outcome.answer && m_context.stalls.lastStallEnd(m_context.now()) > m_startedAt)
        start(m_context, m_endpoint);
    else if (!outcome.answer)
        m_context.directory.reportFailure(*m_endpoint, evidenceOf(outcome));
}

} // namespace lupinknot::internal
