#include "relay/StateQueryProbe.h"

#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

StateQueryProbe::StateQueryProbe(RelayContext& context)
    : m_context(context)
{
}

StateQueryProbe::~StateQueryProbe() = default;

void StateQueryProbe::probe(const std::shared_ptr<RelayEndpoint>& endpoint, Callback callback)
{
    if (endpoint->isInBackOff(m_context.now())) {
        callback(ProbeResult::Inconclusive);
        return;
    }
    m_context.metrics.engineProbes.Increment();
    const auto connection = endpoint->openConnection();
    const auto query = std::make_shared<std::weak_ptr<HttpRoundTrip>>();
    const auto started = HttpRoundTrip::ask(m_context.ioContext, connection, m_context.protocol.encodeStateQuery(),
        m_context.settings.probeTimeout,
        [this, query, endpoint, connection, callback = std::move(callback)](const HttpRoundTripResult& outcome) {
            m_queries.erase(query->lock());
            if (outcome.answer) {
                endpoint->noteAlive(m_context.now());
                endpoint->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), m_context.now());
                callback(ProbeResult::Answered);
            } else if (connection->hasSent())
                // An endpoint with too many connections resets further ones.
                callback(ProbeResult::Unanswered);
            else
                callback(m_context.directory.isPartitioned() ? ProbeResult::Inconclusive : ProbeResult::NotConnected);
        });
    *query = started;
    m_queries.insert(started);
}

} // namespace lupinknot::internal
